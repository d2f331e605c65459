package io.hawthornlb.net.tls;

import java.nio.file.Path;

/**
 * The PEM files of one instance.
 *
 * @param certificate the instance's certificate, followed by the intermediate certificates
 * @param key the instance's unencrypted PKCS 8 private key
 * @param trust the certificates to which the certificate chains of peers must lead
 */
public record TlsFiles(Path certificate, Path key, Path trust) {}
