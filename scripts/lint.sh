#!/usr/bin/env bash
# Runs clang-tidy over every source file. A file is checked again only when its preprocessed text or
# the check list has changed since it last passed.
set -euo pipefail
build=${1:?usage: lint.sh BUILD_DIR}
cache=${XDG_CACHE_HOME:-$HOME/.cache}/dotterelstack-lint
mkdir -p "$cache"
export build cache
export tidy_config_hash; tidy_config_hash=$(sha256sum .clang-tidy | cut -d' ' -f1)

check_file() {
    local file=$1 key out
    key=$({ echo "$tidy_config_hash"; clang++ -std=c++20 -E -P -Isrc -I. -Itest -DDOTTERELSTACK_VERSION='""' "$file"; cat "$file"; } \
        2>/dev/null | sha256sum | cut -d' ' -f1)
    if [ -e "$cache/$key" ]; then return 0; fi
    if out=$(clang-tidy --quiet "$file" -- -std=c++20 -Isrc -I. -Itest -DDOTTERELSTACK_VERSION='""' 2>&1); then
        touch "$cache/$key"
    else
        echo "$out" | grep -v 'warnings generated'
        echo "lint: $file failed"
        return 1
    fi
}
export -f check_file
git ls-files '*.cpp' | xargs -P "$(nproc)" -I{} bash -c 'check_file {}'
echo "lint: no findings"
