package io.hawthornlb.net.peer.support;

import io.hawthornlb.core.chart.ChartInstance;
import io.hawthornlb.core.chart.ChartTypes;
import io.hawthornlb.core.chart.StateChart;
import io.hawthornlb.core.chart.support.ChartResources;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.core.peer.PeerUnavailableException;
import io.hawthornlb.net.codec.CodecException;
import io.hawthornlb.net.peer.PeerNode;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Maintains the connection to one peer, and reconnects after failures.
 *
 * <p>All state is confined to one event loop. The methods that other classes call, except those of
 * {@link LinkListener}, may be called from any thread.
 */
final class PeerLink implements LinkListener {

  private static final System.Logger LOG = System.getLogger(PeerLink.class.getName());

  private static final StateChart<LinkState, LinkEvent, LinkAction> CHART =
      ChartResources.load(
          PeerLink.class,
          "connection.yaml",
          new ChartTypes<>(LinkState.class, LinkEvent.class, LinkAction.class));

  private static final int MAX_QUEUED_FRAMES = 256;

  private final InstanceId peer;
  private final InetSocketAddress address;
  private final PeerNode node;
  private final Map<InstanceId, PeerLink> reachable;
  private final EventLoop eventLoop;
  private final LinkConnector connector;
  private final Backoff backoff;
  private final PendingRequests pending;
  private final ChartInstance<LinkState, LinkEvent, LinkAction> state = new ChartInstance<>(CHART);
  private final Deque<PeerFrame> queued = new ArrayDeque<>();
  private @Nullable Channel channel;
  private @Nullable ScheduledFuture<?> timer;
  private String lastCause = "never connected";
  private long nextCorrelation = 1;
  private boolean keepOpen;
  private boolean used;

  PeerLink(
      InstanceId peer,
      InetSocketAddress address,
      PeerNode node,
      Map<InstanceId, PeerLink> reachable,
      RandomGenerator random) {
    this.peer = peer;
    this.address = address;
    this.node = node;
    this.reachable = reachable;
    this.eventLoop = node.eventLoops().next();
    this.connector = new LinkConnector(node);
    this.backoff = new Backoff(node.options().minBackoff(), node.options().maxBackoff(), random);
    this.pending = new PendingRequests(peer, eventLoop);
  }

  InetSocketAddress address() {
    return address;
  }

  /** Sets whether the connection is kept open, or opened on demand and closed when unused. */
  void keep(boolean open) {
    onEventLoop(
        () -> {
          keepOpen = open;
          if (open) {
            fire(LinkEvent.USE);
          }
        });
  }

  /** Closes the link permanently. */
  void close() {
    onEventLoop(this::remove);
  }

  private void remove() {
    lastCause = "it is no longer listed";
    cancelTimer();
    fire(LinkEvent.REMOVED);
  }

  /** Sends a message that expects no response. Drops it if the peer is unreachable or congested. */
  void send(byte[] content) {
    onEventLoop(
        () -> {
          markUsed();
          write(new PeerFrame(0, FrameKind.SEND, content));
        });
  }

  CompletableFuture<PeerMessage> request(byte[] content, Duration timeout) {
    CompletableFuture<PeerMessage> result = new CompletableFuture<>();
    if (!onEventLoop(() -> startRequest(content, timeout, result))) {
      result.completeExceptionally(
          new PeerUnavailableException(peer, "this instance is shutting down"));
    }
    return result;
  }

  private void startRequest(
      byte[] content, Duration timeout, CompletableFuture<PeerMessage> result) {
    markUsed();
    if (pending.size() >= node.options().pendingLimit()) {
      result.completeExceptionally(
          new PeerUnavailableException(peer, "too many requests are waiting for a response"));
      return;
    }
    long correlation = nextCorrelation++;
    pending.add(correlation, result, timeout);
    if (!write(new PeerFrame(correlation, FrameKind.REQUEST, content))) {
      pending.fail(correlation, rejectionCause());
    }
  }

  private void markUsed() {
    used = true;
    fire(LinkEvent.USE);
  }

  private String rejectionCause() {
    return state.state() == LinkState.READY ? "its connection is congested" : lastCause;
  }

  /**
   * Writes a frame, or queues it while the connection is being opened. Returns false if the frame
   * was rejected.
   *
   * <p>For a peer that reads slowly, this instance would buffer frames until it runs out of memory.
   * Above the write limit the channel is not writable, and frames are rejected.
   */
  private boolean write(PeerFrame frame) {
    if (state.state() == LinkState.READY && channel != null) {
      boolean writable = channel.isWritable();
      if (writable) {
        channel.writeAndFlush(frame, channel.voidPromise());
      }
      return writable;
    }
    boolean connecting =
        state.state() == LinkState.CONNECTING || state.state() == LinkState.AWAITING_HELLO;
    return connecting && queued.size() < MAX_QUEUED_FRAMES && queued.add(frame);
  }

  @Override
  public void connected(Channel from) {
    if (from == channel) {
      fire(LinkEvent.CONNECTED);
    }
  }

  @Override
  public void received(Channel from, PeerFrame frame) {
    if (from != channel) {
      return;
    }
    if (state.state() == LinkState.AWAITING_HELLO) {
      verifyHello(PeerHello.senderOf(frame));
      return;
    }
    switch (frame.kind()) {
      case ANSWER -> completeRequest(frame);
      case FAILURE -> pending.fail(frame.correlation(), frame.text());
      default -> {
        // A returned probe needs no handling: its received bytes have reset the idle time.
      }
    }
  }

  /**
   * Checks that the instance that sent the hello is the expected peer.
   *
   * <p>Instances are replaced at any time, and their addresses are reused. Without this check,
   * messages for a replaced instance would reach its successor, which would respond from a
   * different state. Before the platform's list has arrived, a peer is known only by its configured
   * name; any start of the instance with that name is then accepted.
   */
  private void verifyHello(InstanceId sender) {
    boolean startOfName = peer.value().equals(sender.stableName());
    if (sender.equals(peer) || startOfName) {
      fire(LinkEvent.HELLO_RECEIVED);
    } else {
      lost(channel, "another instance, " + sender + ", responds at " + address);
    }
  }

  private void completeRequest(PeerFrame frame) {
    try {
      node.codec()
          .decode(frame.content())
          .ifPresentOrElse(
              response -> pending.complete(frame.correlation(), response),
              () -> pending.fail(frame.correlation(), "its response has an unknown type"));
    } catch (CodecException e) {
      pending.fail(frame.correlation(), "its response cannot be decoded");
    }
  }

  @Override
  public void lost(@Nullable Channel from, String cause) {
    if (from == channel && !state.isFinal() && state.state() != LinkState.WAITING) {
      lastCause = cause;
      fire(LinkEvent.LOST);
    }
  }

  private void fire(LinkEvent event) {
    LinkState before = state.state();
    state.fire(event).forEach(this::perform);
    if (before == LinkState.READY && event == LinkEvent.LOST) {
      LOG.log(System.Logger.Level.WARNING, "peers: connection to " + peer + " lost: " + lastCause);
    }
  }

  private void perform(LinkAction action) {
    switch (action) {
      case OPEN -> channel = connector.connect(address, eventLoop, this);
      case SEND_HELLO -> sendHello();
      case MARK_REACHABLE -> markReachable();
      case FLUSH -> flush();
      case FAIL_REQUESTS -> failRequests();
      case SCHEDULE_RECONNECT -> scheduleReconnect();
      case START_IDLE_CHECK -> startIdleCheck();
      case DISCONNECT -> disconnect();
      default -> throw new IllegalStateException("unknown action " + action);
    }
  }

  private void sendHello() {
    if (channel != null) {
      channel.writeAndFlush(PeerHello.frame(node.self()));
    }
  }

  private void markReachable() {
    backoff.reset();
    reachable.put(peer, this);
    LOG.log(System.Logger.Level.DEBUG, "peers: connected to " + peer + " at " + address);
  }

  private void flush() {
    while (!queued.isEmpty()) {
      PeerFrame frame = queued.remove();
      if (!write(frame)) {
        pending.fail(frame.correlation(), rejectionCause());
      }
    }
  }

  private void failRequests() {
    reachable.remove(peer, this);
    queued.clear();
    pending.failAll(lastCause);
  }

  private void startIdleCheck() {
    used = false;
    scheduleTimer(node.options().idleTimeout(), this::closeIfUnused);
  }

  private void closeIfUnused() {
    if (state.state() != LinkState.READY) {
      return;
    }
    if (keepOpen || used || pending.size() > 0) {
      startIdleCheck();
    } else {
      fire(LinkEvent.UNUSED);
    }
  }

  private void scheduleReconnect() {
    scheduleTimer(backoff.next(), () -> fire(LinkEvent.DUE));
  }

  /** Schedules a task and cancels the previously scheduled one; each state needs at most one. */
  private void scheduleTimer(Duration delay, Runnable task) {
    cancelTimer();
    timer = eventLoop.schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void cancelTimer() {
    if (timer != null) {
      timer.cancel(false);
    }
  }

  private void disconnect() {
    Channel oldChannel = channel;
    channel = null;
    if (oldChannel != null) {
      oldChannel.close();
    }
  }

  private boolean onEventLoop(Runnable task) {
    try {
      eventLoop.execute(task);
      return true;
    } catch (RejectedExecutionException ignored) {
      return false;
    }
  }
}
