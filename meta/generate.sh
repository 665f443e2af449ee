#!/usr/bin/env bash
# Generates the protobuf code again. Needs the package protobuf-compiler.
set -euo pipefail
cd "$(dirname "$0")/../libraries"
(cd protocol && protoc --cpp_out=generated peer.proto)
(cd peers && protoc --cpp_out=generated machine.proto)
(cd quotas && protoc --cpp_out=generated quota.proto)
(cd poison && protoc --cpp_out=generated poison.proto)
(cd rollouts && protoc --cpp_out=generated rollout.proto)
(cd upstream_limits && protoc --cpp_out=generated limit.proto slot.proto)
(cd load_sharing && protoc --cpp_out=generated load.proto)
(cd streams && protoc --cpp_out=generated streams.proto)
