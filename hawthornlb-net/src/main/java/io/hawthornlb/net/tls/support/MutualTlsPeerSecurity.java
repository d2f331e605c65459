package io.hawthornlb.net.tls.support;

import io.hawthornlb.net.tls.InvalidKeyFilesException;
import io.hawthornlb.net.tls.PeerSecurity;
import io.hawthornlb.net.tls.TlsFiles;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslProvider;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.PrivateKey;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLException;

/**
 * Mutual TLS 1.3, in which both sides present a certificate that chains to a trusted one.
 *
 * <p>Host names are not verified, since instances are replaced at any time and connect to each
 * other by IP address. Every owner of a certificate that chains to a trusted certificate is
 * accepted as a peer, so the trusted certificates must not sign any other certificates. Connections
 * that are open during a reload keep using the previous keys.
 */
public final class MutualTlsPeerSecurity implements PeerSecurity {

  private static final System.Logger LOG = System.getLogger(MutualTlsPeerSecurity.class.getName());

  private static final String PROTOCOL = "TLSv1.3";

  private final TlsFiles files;
  private final PemReader reader = new PemReader();
  private volatile Contexts contexts;

  private record Contexts(String fingerprint, SslContext server, SslContext client) {}

  /**
   * Loads the key files.
   *
   * @throws InvalidKeyFilesException if the files cannot be read, or the key does not match
   */
  public MutualTlsPeerSecurity(TlsFiles files) {
    this.files = files;
    this.contexts = load(fingerprint());
  }

  /** Checks the files for changes after each interval. Cancel the returned future to stop. */
  public ScheduledFuture<?> reloadEvery(Duration interval, ScheduledExecutorService timer) {
    long millis = interval.toMillis();
    return timer.scheduleWithFixedDelay(this::reload, millis, millis, TimeUnit.MILLISECONDS);
  }

  /**
   * Reloads the files if they have changed and are valid. Otherwise the previous keys stay in use.
   *
   * @return whether the files were reloaded
   */
  public boolean reload() {
    try {
      String fingerprint = fingerprint();
      if (fingerprint.equals(contexts.fingerprint())) {
        return false;
      }
      contexts = load(fingerprint);
      LOG.log(System.Logger.Level.INFO, "tls: key files reloaded");
      return true;
    } catch (InvalidKeyFilesException e) {
      LOG.log(
          System.Logger.Level.ERROR,
          "tls: failed to reload key files, keeping the previous keys: " + e.getMessage());
      return false;
    }
  }

  @Override
  public boolean authenticates() {
    return true;
  }

  @Override
  public Optional<SslHandler> serverHandler(ByteBufAllocator allocator) {
    return Optional.of(contexts.server().newHandler(allocator));
  }

  @Override
  public Optional<SslHandler> clientHandler(ByteBufAllocator allocator) {
    return Optional.of(contexts.client().newHandler(allocator));
  }

  private Contexts load(String fingerprint) {
    KeyMaterial material = reader.read(files);
    PrivateKey key = material.key();
    X509Certificate[] chain = material.chain().toArray(X509Certificate[]::new);
    try {
      SslContext server =
          configure(SslContextBuilder.forServer(key, chain), material)
              .clientAuth(ClientAuth.REQUIRE)
              .build();
      SslContext client =
          configure(SslContextBuilder.forClient().keyManager(key, chain), material)
              .endpointIdentificationAlgorithm(null)
              .build();
      return new Contexts(fingerprint, server, client);
    } catch (SSLException e) {
      throw new InvalidKeyFilesException("cannot create a TLS context from the key files", e);
    }
  }

  private static SslContextBuilder configure(SslContextBuilder builder, KeyMaterial material) {
    return builder
        .sslProvider(SslProvider.JDK)
        .protocols(PROTOCOL)
        .trustManager(material.trusted().toArray(X509Certificate[]::new));
  }

  /**
   * Returns a digest of the contents, since a change may leave the files' timestamps as they were.
   */
  private String fingerprint() {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      for (Path file : List.of(files.certificate(), files.key(), files.trust())) {
        digest.update(Files.readAllBytes(file));
      }
      return HexFormat.of().formatHex(digest.digest());
    } catch (IOException e) {
      throw new InvalidKeyFilesException("cannot read " + e.getMessage(), e);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java runtime has SHA-256", e);
    }
  }
}
