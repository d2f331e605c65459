package io.hawthornlb.net.peer.support;

import static io.hawthornlb.net.peer.support.PeerFixture.CLIENT;
import static io.hawthornlb.net.peer.support.PeerFixture.FAST;
import static io.hawthornlb.net.peer.support.PeerFixture.LONG;
import static io.hawthornlb.net.peer.support.PeerFixture.SERVER;
import static io.hawthornlb.net.peer.support.PeerFixture.ask;
import static io.hawthornlb.net.peer.support.PeerFixture.failure;
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
  void copyStranger() throws IOException {
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

  private void assertRefused(PeerSecurity client, PeerSecurity server) {
    NettyPeerServer listening = fixture.server(server);
    NettyPeerClient refused = fixture.client(client, FAST, listening.address());

    Throwable cause = failure(ask(refused, SERVER, "a", LONG));

    assertInstanceOf(PeerUnavailableException.class, cause);
    assertFalse(cause.getMessage().contains("timeout"), cause.getMessage());
    assertEquals(Set.of(), refused.reachable());
  }

  @Test
  void peersOfOneTrustTalk() {
    NettyPeerServer server = fixture.server(serverKeys());
    NettyPeerClient client =
        fixture.client(TestKeys.security("entry-1", "trust"), FAST, server.address());

    assertEquals(new Pong(CLIENT, "a"), ask(client, SERVER, "a", LONG).join());
  }

  // On a busy machine the TLS handshake takes longer than the time after which a silent connection
  // is probed. The probe was queued behind the handshake and came before the hello, so the server
  // closed the connection, each time anew, and the peer stayed out of reach.
  @Test
  void slowHandshakesAreNotProbed() throws Exception {
    NettyPeerServer server = fixture.server(serverKeys());
    ForwardingProxy proxy = fixture.keep(new ForwardingProxy(server.address()));
    proxy.hold();
    Duration probe = Duration.ofMillis(20);
    PeerOptions options = FAST.withProbes(probe, LONG);
    NettyPeerClient client =
        fixture.client(TestKeys.security("entry-1", "trust"), options, proxy.address());

    CompletableFuture<PeerMessage> request = ask(client, SERVER, "a", LONG);
    Thread.sleep(probe.toMillis() * 10);
    proxy.release();

    assertEquals(new Pong(CLIENT, "a"), request.join());
    assertEquals(1, proxy.connections());
  }

  @Test
  void refusesClientsWithoutTls() {
    assertRefused(new PlainPeerSecurity(), serverKeys());
  }

  @Test
  void refusesServersWithoutTls() {
    assertRefused(TestKeys.security("entry-1", "trust"), new PlainPeerSecurity());
  }

  // Somebody in the network makes a certificate of their own and connects as an entry. The client
  // side of TLS 1.3 counts its handshake as done before the server has looked at the certificate,
  // so only the server's hello may make the peer count as reachable.
  @Test
  void refusesUntrustedClients() {
    assertRefused(TestKeys.security("stranger", "trust"), serverKeys());
  }

  @Test
  void refusesUntrustedServers() {
    assertRefused(
        TestKeys.security("entry-1", "trust"), TestKeys.security("stranger", "other-trust"));
  }

  @Test
  void reloadsKeysThatChanged() throws IOException {
    NettyPeerServer server = fixture.server(serverKeys());
    MutualTlsPeerSecurity security = new MutualTlsPeerSecurity(files);
    NettyPeerClient client = fixture.client(security, FAST, server.address());
    failure(ask(client, SERVER, "a", LONG));
    assertFalse(security.reload());

    replace("entry-1.pem", files.certificate());
    replace("entry-1-key.pem", files.key());
    replace("trust.pem", files.trust());

    assertTrue(security.reload());
    await().atMost(LONG).until(() -> PeerFixture.answers(client));
  }

  @Test
  void looksAtTheFilesOnATimer() throws IOException {
    NettyPeerServer server = fixture.server(serverKeys());
    MutualTlsPeerSecurity security = new MutualTlsPeerSecurity(files);
    NettyPeerClient client = fixture.client(security, FAST, server.address());
    ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    try {
      security.reloadEvery(Duration.ofMillis(20), timer);
      replace("entry-1.pem", files.certificate());
      replace("entry-1-key.pem", files.key());
      replace("trust.pem", files.trust());
      await().atMost(LONG).until(() -> PeerFixture.answers(client));
    } finally {
      timer.shutdownNow();
    }
  }

  // An operator replaces the certificate and then the key. A reload between both must not take a
  // pair that does not match: every new connection would fail until the next restart.
  @Test
  void keepsFormerKeysWhileFilesDoNotMatch() throws IOException {
    MutualTlsPeerSecurity security = new MutualTlsPeerSecurity(files);
    NettyPeerServer server = fixture.server(TestKeys.security("stranger", "other-trust"));

    replace("entry-1.pem", files.certificate());
    assertFalse(security.reload());
    Files.writeString(files.certificate(), "half a file");
    assertFalse(security.reload());
    Files.delete(files.certificate());
    assertFalse(security.reload());

    NettyPeerClient client = fixture.client(security, FAST, server.address());
    assertTrue(ask(client, SERVER, "a", LONG).join() instanceof Pong);
  }

  @Test
  void refusesToStartWithFilesThatDoNotMatch() throws IOException {
    replace("entry-1.pem", files.certificate());
    assertThrows(InvalidKeyFilesException.class, () -> new MutualTlsPeerSecurity(files));
    replace("stranger.pem", files.key());
    InvalidKeyFilesException noKey =
        assertThrows(InvalidKeyFilesException.class, () -> new MutualTlsPeerSecurity(files));
    assertTrue(noKey.getMessage().contains("openssl pkcs8"));
  }
}
