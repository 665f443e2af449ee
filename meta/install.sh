#!/usr/bin/env bash
# Installs the packages of meta/packages.txt that are missing.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r package; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
        grep -q 'install ok installed'; then
        missing+=("$package")
    fi
done < meta/packages.txt
if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi
echo "installing: ${missing[*]}"
as_root=()
if [ "$(id -u)" -ne 0 ]; then
    as_root=(sudo)
fi
"${as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq \
    --no-install-recommends "${missing[@]}" >/dev/null
