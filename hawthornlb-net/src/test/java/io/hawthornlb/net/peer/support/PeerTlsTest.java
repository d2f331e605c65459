package io.hawthornlb.net.peer.support;

import static io.hawthornlb.net.peer.support.PeerFixture.CLIENT;
import static io.hawthornlb.net.peer.support.PeerFixture.FAST;
import static io.hawthornlb.net.peer.support.PeerFixture.LONG_TIMEOUT;
import static io.hawthornlb.net.peer.support.PeerFixture.SERVER;
import static io.hawthornlb.net.peer.support.PeerFixture.failure;
import static io.hawthornlb.net.peer.support.PeerFixture.sendPing;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.core.peer.PeerUnavailableException;
import io.hawthornlb.net.peer.PeerOptions;
import io.hawthornlb.net.tls.InvalidKeyFilesException;
import io.hawthornlb.net.tls.PeerSecurity;
import io.hawthornlb.net.tls.TlsFiles;
import io.hawthornlb.net.tls.support.MutualTlsPeerSecurity;
import io.hawthornlb.net.tls.support.PlainPeerSecurity;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PeerTlsTest {

  private final PeerFixture fixture = new PeerFixture();

  @TempDir private Path folder;
  private TlsFiles files;

  @BeforeEach
  void copyUntrustedKeys() throws IOException {
    files = new TlsFiles(folder.resolve("c.pem"), folder.resolve("k.pem"), folder.resolve("t.pem"));
    replace("stranger.pem", files.certificate());
    replace("stranger-key.pem", files.key());
    replace("other-trust.pem", files.trust());
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  private static void replace(String resource, Path file) throws IOException {
    Files.copy(TestKeys.file(resource), file, StandardCopyOption.REPLACE_EXISTING);
  }

  private static PeerSecurity serverKeys() {
    return TestKeys.security("entry-2", "trust");
  }

  private void assertRejected(PeerSecurity client, PeerSecurity server) {
    NettyPeerServer listening = fixture.server(server);
    NettyPeerClient rejected = fixture.client(client, FAST, listening.address());

    Throwable cause = failure(sendPing(rejected, SERVER, "a", LONG_TIMEOUT));

    assertInstanceOf(PeerUnavailableException.class, cause);
    assertFalse(cause.getMessage().contains("timeout"), cause.getMessage());
    assertEquals(Set.of(), rejected.reachable());
  }

  @Test
  void peersWithCommonTrustExchangeMessages() {
    NettyPeerServer server = fixture.server(serverKeys());
    NettyPeerClient client =
        fixture.client(TestKeys.security("entry-1", "trust"), FAST, server.address());

    assertEquals(new Pong(CLIENT, "a"), sendPing(client, SERVER, "a", LONG_TIMEOUT).join());
  }

  // Guards against probes during the TLS handshake. On a busy machine the handshake takes longer
  // than the probe time. The probe is queued until the handshake ends and is sent before the hello,
  // so the server closes the connection. This repeats at each attempt, and the peer stays
  // unreachable.
  @Test
  void slowHandshakesAreNotProbed() throws Exception {
    NettyPeerServer server = fixture.server(serverKeys());
    ForwardingProxy proxy = fixture.keep(new ForwardingProxy(server.address()));
    proxy.hold();
    Duration probe = Duration.ofMillis(20);
    PeerOptions options = FAST.withProbes(probe, LONG_TIMEOUT);
    NettyPeerClient client =
        fixture.client(TestKeys.security("entry-1", "trust"), options, proxy.address());

    CompletableFuture<PeerMessage> request = sendPing(client, SERVER, "a", LONG_TIMEOUT);
    Thread.sleep(probe.toMillis() * 10);
    proxy.release();

    assertEquals(new Pong(CLIENT, "a"), request.join());
    assertEquals(1, proxy.connections());
  }

  @Test
  void rejectsClientsWithoutTls() {
    assertRejected(new PlainPeerSecurity(), serverKeys());
  }

  @Test
  void rejectsServersWithoutTls() {
    assertRejected(TestKeys.security("entry-1", "trust"), new PlainPeerSecurity());
  }

  // Guards against a client with an untrusted certificate that poses as an entry instance. In TLS
  // 1.3 the client completes its handshake before the server has verified the client's certificate.
  // The client must therefore count the peer as reachable only once the server's hello has arrived.
  @Test
  void rejectsUntrustedClients() {
    assertRejected(TestKeys.security("stranger", "trust"), serverKeys());
  }

  @Test
  void rejectsUntrustedServers() {
    assertRejected(
        TestKeys.security("entry-1", "trust"), TestKeys.security("stranger", "other-trust"));
  }

  @Test
  void reloadsChangedKeys() throws IOException {
    NettyPeerServer server = fixture.server(serverKeys());
    MutualTlsPeerSecurity security = new MutualTlsPeerSecurity(files);
    NettyPeerClient client = fixture.client(security, FAST, server.address());
    failure(sendPing(client, SERVER, "a", LONG_TIMEOUT));
    assertFalse(security.reload());

    replace("entry-1.pem", files.certificate());
    replace("entry-1-key.pem", files.key());
    replace("trust.pem", files.trust());

    assertTrue(security.reload());
    await().atMost(LONG_TIMEOUT).until(() -> PeerFixture.responds(client));
  }

  @Test
  void reloadsChangedKeysPeriodically() throws IOException {
    NettyPeerServer server = fixture.server(serverKeys());
    MutualTlsPeerSecurity security = new MutualTlsPeerSecurity(files);
    NettyPeerClient client = fixture.client(security, FAST, server.address());
    ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    try {
      security.reloadEvery(Duration.ofMillis(20), timer);
      replace("entry-1.pem", files.certificate());
      replace("entry-1-key.pem", files.key());
      replace("trust.pem", files.trust());
      await().atMost(LONG_TIMEOUT).until(() -> PeerFixture.responds(client));
    } finally {
      timer.shutdownNow();
    }
  }

  // Guards against loading a certificate and a key that do not match. An operator replaces the
  // certificate first and the key afterwards. If a reload in between took the mismatched pair,
  // every new connection would fail until the next restart.
  @Test
  void keepsPreviousKeysWhileFilesDoNotMatch() throws IOException {
    MutualTlsPeerSecurity security = new MutualTlsPeerSecurity(files);
    NettyPeerServer server = fixture.server(TestKeys.security("stranger", "other-trust"));

    replace("entry-1.pem", files.certificate());
    assertFalse(security.reload());
    Files.writeString(files.certificate(), "half a file");
    assertFalse(security.reload());
    Files.delete(files.certificate());
    assertFalse(security.reload());

    NettyPeerClient client = fixture.client(security, FAST, server.address());
    assertTrue(sendPing(client, SERVER, "a", LONG_TIMEOUT).join() instanceof Pong);
  }

  @Test
  void rejectsMismatchedFilesAtStart() throws IOException {
    replace("entry-1.pem", files.certificate());
    assertThrows(InvalidKeyFilesException.class, () -> new MutualTlsPeerSecurity(files));
    replace("stranger.pem", files.key());
    InvalidKeyFilesException noKey =
        assertThrows(InvalidKeyFilesException.class, () -> new MutualTlsPeerSecurity(files));
    assertTrue(noKey.getMessage().contains("openssl pkcs8"));
  }
}
