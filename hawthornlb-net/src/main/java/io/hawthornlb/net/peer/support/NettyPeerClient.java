package io.hawthornlb.net.peer.support;

import io.hawthornlb.core.membership.ListedKind;
import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.core.peer.PeerUnavailableException;
import io.hawthornlb.net.peer.PeerClient;
import io.hawthornlb.net.peer.PeerNode;
import io.hawthornlb.net.peer.PeerSelector;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/** {@link PeerClient} on Netty that maintains one {@link PeerLink} to each listed peer. */
public final class NettyPeerClient implements PeerClient {

  private static final System.Logger LOG = System.getLogger(NettyPeerClient.class.getName());

  private final PeerNode node;
  private final PeerSelector selector;
  private final RandomGenerator random;
  private final Map<InstanceId, PeerLink> links = new ConcurrentHashMap<>();
  private final Map<InstanceId, PeerLink> reachable = new ConcurrentHashMap<>();
  private boolean closed;

  /**
   * Creates a client that initially knows the given peers.
   *
   * @param node the context of this instance
   * @param known the peers that are known before the platform's list has arrived
   * @param selector selects the peers to which a connection is kept open
   * @param random the source of the backoff jitter; must be safe for use by several threads
   */
  public NettyPeerClient(
      PeerNode node, List<ListedProcess> known, PeerSelector selector, RandomGenerator random) {
    this.node = node;
    this.selector = selector;
    this.random = random;
    updatePeers(known);
  }

  @Override
  public synchronized void updatePeers(List<ListedProcess> listed) {
    if (closed) {
      return;
    }
    List<ListedProcess> entries = listed.stream().filter(this::isPeer).toList();
    Set<InstanceId> kept = selector.select(entries);
    Map<InstanceId, PeerLink> removed = new HashMap<>(links);
    for (ListedProcess process : entries) {
      InstanceId id = new InstanceId(process.id());
      removed.remove(id);
      update(id, process, kept.contains(id));
    }
    removed.forEach(this::remove);
  }

  private boolean isPeer(ListedProcess process) {
    return process.kind() == ListedKind.ENTRY && !process.id().equals(node.self().value());
  }

  private void update(InstanceId id, ListedProcess process, boolean keep) {
    @Nullable InetSocketAddress address = address(process);
    @Nullable PeerLink link = links.get(id);
    if (link != null && !link.address().equals(address)) {
      remove(id, link);
      link = null;
    }
    if (link == null && address != null) {
      link = new PeerLink(id, address, node, reachable, random);
      links.put(id, link);
    }
    if (link != null) {
      link.keep(keep);
    }
  }

  /**
   * Returns the address of a listed peer, or null if it must not be used.
   *
   * <p>Without TLS the identity of the peer is not authenticated, and a wrong list would cause
   * messages to be sent in clear text through the network. Only loopback addresses are therefore
   * used without TLS.
   */
  private @Nullable InetSocketAddress address(ListedProcess process) {
    String text = process.address();
    int colon = text.lastIndexOf(':');
    String host = text.substring(0, Math.max(colon, 0)).replaceAll("[\\[\\]]", "");
    @Nullable InetAddress ip = NetUtil.createInetAddressFromIpAddressString(host);
    if (ip == null || !text.substring(colon + 1).matches("\\d{1,5}")) {
      LOG.log(
          System.Logger.Level.WARNING,
          "peers: ignored peer without a valid IP address and port: " + process);
      return null;
    }
    if (!node.security().authenticates() && !ip.isLoopbackAddress()) {
      LOG.log(
          System.Logger.Level.WARNING,
          "peers: ignored peer outside loopback, since TLS is not configured: " + process);
      return null;
    }
    return new InetSocketAddress(ip, Integer.parseInt(text.substring(colon + 1)));
  }

  private void remove(InstanceId id, PeerLink link) {
    links.remove(id, link);
    link.close();
  }

  @Override
  public void send(InstanceId target, PeerMessage message) {
    @Nullable PeerLink link = links.get(target);
    if (link != null) {
      link.send(encode(message));
    }
  }

  @Override
  public CompletionStage<PeerMessage> request(
      InstanceId target, PeerMessage message, Duration timeout) {
    @Nullable PeerLink link = links.get(target);
    if (link == null) {
      return CompletableFuture.failedStage(
          new PeerUnavailableException(target, "it is not listed"));
    }
    return link.request(encode(message), timeout);
  }

  private byte[] encode(PeerMessage message) {
    byte[] content = node.codec().encode(message);
    PeerFrameCodec.requireFits(content, node.options());
    return content;
  }

  @Override
  public Set<InstanceId> reachable() {
    return Set.copyOf(reachable.keySet());
  }

  @Override
  public synchronized void close() {
    closed = true;
    Map.copyOf(links).forEach(this::remove);
  }
}
