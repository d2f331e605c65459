package io.hawthornlb.net.tls.support;

import io.hawthornlb.net.tls.InvalidKeyFilesException;
import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.security.cert.X509Certificate;
import java.util.List;

/**
 * Keys and certificates that belong together.
 *
 * @param chain the instance's certificate first
 * @param key the private key of the first certificate
 * @param trusted the certificates that chains of peers must end in
 */
record KeyMaterial(List<X509Certificate> chain, PrivateKey key, List<X509Certificate> trusted) {

  private static final byte[] PROBE = {1, 2, 3, 4};

  KeyMaterial {
    chain = List.copyOf(chain);
    trusted = List.copyOf(trusted);
  }

  /**
   * Checks that the key is that of the certificate.
   *
   * <p>An operator replaces two files one after the other. A reload between both would pair the new
   * certificate with the old key, and every handshake would fail from then on; so a pair that does
   * not match is refused and the former pair stays in use.
   */
  KeyMaterial requireMatch() {
    try {
      String algorithm = signatureAlgorithm(key.getAlgorithm());
      Signature signer = Signature.getInstance(algorithm);
      signer.initSign(key);
      signer.update(PROBE);
      byte[] signature = signer.sign();
      PublicKey publicKey = chain.get(0).getPublicKey();
      Signature verifier = Signature.getInstance(algorithm);
      verifier.initVerify(publicKey);
      verifier.update(PROBE);
      if (!verifier.verify(signature)) {
        throw new InvalidKeyFilesException("the key is not that of the certificate", null);
      }
      return this;
    } catch (GeneralSecurityException e) {
      throw new InvalidKeyFilesException("the key is not that of the certificate", e);
    }
  }

  private static String signatureAlgorithm(String keyAlgorithm) {
    return switch (keyAlgorithm) {
      case "RSA" -> "SHA256withRSA";
      case "EC" -> "SHA256withECDSA";
      default -> keyAlgorithm;
    };
  }
}
