// Keeps a library target valid while its folder has no sources.
