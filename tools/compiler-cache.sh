# Sourced by the scripts that build, from the tree's root. Lets ccache serve sources that use the precompiled header,
# and one tree's objects to another tree of the same sources.
export CCACHE_SLOPPINESS=pch_defines,time_macros,include_file_mtime,include_file_ctime
export CCACHE_BASEDIR="$PWD"
export CCACHE_NOHASHDIR=1
