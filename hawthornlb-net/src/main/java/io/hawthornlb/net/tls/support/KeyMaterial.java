package io.hawthornlb.net.tls.support;

import io.hawthornlb.net.tls.InvalidKeyFilesException;
import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.security.cert.X509Certificate;
import java.util.List;

/**
 * A private key with its certificate chain, and the trusted certificates.
 *
 * @param chain the certificate chain, beginning with the instance's own certificate
 * @param key the private key of the first certificate
 * @param trusted the certificates to which the certificate chains of peers must lead
 */
record KeyMaterial(List<X509Certificate> chain, PrivateKey key, List<X509Certificate> trusted) {

  private static final byte[] CHALLENGE = {1, 2, 3, 4};

  KeyMaterial {
    chain = List.copyOf(chain);
    trusted = List.copyOf(trusted);
  }

  /**
   * Returns this key material if the key matches the certificate.
   *
   * <p>An operator replaces the two files one after the other. A reload in between would combine
   * the new certificate with the old key, and every later handshake would fail. A mismatched pair
   * is therefore rejected, and the previous pair stays in use.
   *
   * @throws InvalidKeyFilesException if the key does not match the certificate
   */
  KeyMaterial requireMatch() {
    try {
      String algorithm = signatureAlgorithm(key.getAlgorithm());
      Signature signer = Signature.getInstance(algorithm);
      signer.initSign(key);
      signer.update(CHALLENGE);
      byte[] signature = signer.sign();
      PublicKey publicKey = chain.get(0).getPublicKey();
      Signature verifier = Signature.getInstance(algorithm);
      verifier.initVerify(publicKey);
      verifier.update(CHALLENGE);
      if (!verifier.verify(signature)) {
        throw new InvalidKeyFilesException("the private key does not match the certificate", null);
      }
      return this;
    } catch (GeneralSecurityException e) {
      throw new InvalidKeyFilesException("the private key does not match the certificate", e);
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
