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
 * TLS 1.3 in which both sides show a certificate that chains to a trusted one.
 *
 * <p>Host names are not checked: instances are replaced at any time and reach each other by IP
 * numbers. Every holder of a certificate under the trusted ones counts as a peer, so these must
 * sign nothing else. Connections that are open at a reload go on with the former keys.
 */
public final class MutualTlsPeerSecurity implements PeerSecurity {

  private static final System.Logger LOG = System.getLogger(MutualTlsPeerSecurity.class.getName());

  private static final String PROTOCOL = "TLSv1.3";

  private final TlsFiles files;
  private final PemReader reader = new PemReader();
  private volatile Contexts contexts;

  private record Contexts(String fingerprint, SslContext server, SslContext client) {}

  /**
   * Loads the files.
   *
   * @throws InvalidKeyFilesException if they are not readable or do not belong together
   */
  public MutualTlsPeerSecurity(TlsFiles files) {
    this.files = files;
    this.contexts = load(fingerprint());
  }

  /** Looks at the files after each interval; cancel the result to stop. */
  public ScheduledFuture<?> reloadEvery(Duration interval, ScheduledExecutorService timer) {
    long millis = interval.toMillis();
    return timer.scheduleWithFixedDelay(this::reload, millis, millis, TimeUnit.MILLISECONDS);
  }

  /** Loads the files if they changed and are valid; otherwise the former keys stay in use. */
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
          "tls: key files not reloaded, former ones kept: " + e.getMessage());
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
      throw new InvalidKeyFilesException("key files make no TLS context", e);
    }
  }

  private static SslContextBuilder configure(SslContextBuilder builder, KeyMaterial material) {
    return builder
        .sslProvider(SslProvider.JDK)
        .protocols(PROTOCOL)
        .trustManager(material.trusted().toArray(X509Certificate[]::new));
  }

  /** Returns a digest of the contents; times of files may stay the same through a change. */
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
