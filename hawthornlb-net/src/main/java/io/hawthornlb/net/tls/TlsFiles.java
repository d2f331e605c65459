package io.hawthornlb.net.tls;

import java.nio.file.Path;

/**
 * PEM files of one instance.
 *
 * @param certificate its certificate, followed by those between it and a trusted one
 * @param key its private key in PKCS 8, not encrypted
 * @param trust the certificates that the chains of peers must end in
 */
public record TlsFiles(Path certificate, Path key, Path trust) {}
