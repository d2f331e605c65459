# Shared by the scripts beside this folder: installs the build tools that are missing.

ensure_tools() {
  local missing=()
  command -v javac >/dev/null 2>&1 || missing+=(openjdk-17-jdk-headless)
  command -v mvn >/dev/null 2>&1 || missing+=(maven)
  if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -qq
    apt-get install -y -qq --no-install-recommends "${missing[@]}"
  fi
}
