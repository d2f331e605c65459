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
 * The connection to one peer, through losses and reconnects.
 *
 * <p>All state is confined to one event loop; public methods may be called from any thread.
 */
final class PeerLink implements LinkListener {

  private static final System.Logger LOG = System.getLogger(PeerLink.class.getName());

  private static final StateChart<LinkState, LinkEvent, LinkAction> CHART =
      ChartResources.load(
          PeerLink.class,
          "connection.yaml",
          new ChartTypes<>(LinkState.class, LinkEvent.class, LinkAction.class));

  private static final int MAX_HELD_FRAMES = 256;

  private final InstanceId peer;
  private final InetSocketAddress address;
  private final PeerNode node;
  private final Map<InstanceId, PeerLink> reachable;
  private final EventLoop eventLoop;
  private final LinkConnector connector;
  private final Backoff backoff;
  private final PendingRequests pending;
  private final ChartInstance<LinkState, LinkEvent, LinkAction> state = new ChartInstance<>(CHART);
  private final Deque<PeerFrame> held = new ArrayDeque<>();
  private @Nullable Channel channel;
  private @Nullable ScheduledFuture<?> timer;
  private String lastCause = "never connected";
  private long nextCorrelation = 1;
  private boolean kept;
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

  /** Connects and stays connected, or lets the connection go once nobody uses it. */
  void keep(boolean wanted) {
    onEventLoop(
        () -> {
          kept = wanted;
          if (wanted) {
            fire(LinkEvent.USE);
          }
        });
  }

  /** Closes for good. */
  void close() {
    onEventLoop(this::remove);
  }

  private void remove() {
    lastCause = "it is no longer listed";
    cancelTimer();
    fire(LinkEvent.REMOVED);
  }

  /** Sends without an answer; dropped while the peer is out of reach or behind. */
  void send(byte[] content) {
    onEventLoop(
        () -> {
          use();
          write(new PeerFrame(0, FrameKind.SEND, content));
        });
  }

  CompletableFuture<PeerMessage> request(byte[] content, Duration timeout) {
    CompletableFuture<PeerMessage> result = new CompletableFuture<>();
    if (!onEventLoop(() -> startRequest(content, timeout, result))) {
      result.completeExceptionally(new PeerUnavailableException(peer, "this instance stops"));
    }
    return result;
  }

  private void startRequest(
      byte[] content, Duration timeout, CompletableFuture<PeerMessage> result) {
    use();
    if (pending.size() >= node.options().pendingLimit()) {
      result.completeExceptionally(new PeerUnavailableException(peer, "too many requests wait"));
      return;
    }
    long correlation = nextCorrelation++;
    pending.add(correlation, result, timeout);
    if (!write(new PeerFrame(correlation, FrameKind.REQUEST, content))) {
      pending.fail(correlation, refusalCause());
    }
  }

  private void use() {
    used = true;
    fire(LinkEvent.USE);
  }

  private String refusalCause() {
    return state.state() == LinkState.READY ? "its connection is congested" : lastCause;
  }

  /**
   * Writes a frame, or holds it for a connection that is being made.
   *
   * <p>A peer that reads slowly would make this instance buffer without bound until its memory
   * ends; above the limit the channel is not writable and frames are refused instead.
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
        state.state() == LinkState.CONNECTING || state.state() == LinkState.GREETING;
    return connecting && held.size() < MAX_HELD_FRAMES && held.add(frame);
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
    if (state.state() == LinkState.GREETING) {
      greeted(PeerHello.senderOf(frame));
      return;
    }
    switch (frame.kind()) {
      case ANSWER -> answered(frame);
      case FAILURE -> pending.fail(frame.correlation(), frame.text());
      default -> {
        // A probe that comes back has done its work when its bytes were read.
      }
    }
  }

  /**
   * Checks who answered.
   *
   * <p>Instances are replaced at any time and addresses used again: messages for a gone instance
   * would reach its successor, which would answer from another state. A peer that is known by the
   * name of its settings only, before the platform's list has come, may be any start of it.
   */
  private void greeted(InstanceId sender) {
    boolean startOfName = peer.value().equals(sender.stableName());
    if (sender.equals(peer) || startOfName) {
      fire(LinkEvent.GREETED);
    } else {
      lost(channel, "another instance, " + sender + ", answers at " + address);
    }
  }

  private void answered(PeerFrame frame) {
    try {
      node.codec()
          .decode(frame.content())
          .ifPresentOrElse(
              answer -> pending.complete(frame.correlation(), answer),
              () -> pending.fail(frame.correlation(), "its answer is of an unknown type"));
    } catch (CodecException e) {
      pending.fail(frame.correlation(), "its answer is unreadable");
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
      case GREET -> greet();
      case ANNOUNCE -> announce();
      case FLUSH -> flush();
      case FAIL_REQUESTS -> failRequests();
      case BACK_OFF -> backOff();
      case WATCH_USE -> watchUse();
      case DISCONNECT -> disconnect();
      default -> throw new IllegalStateException("unknown action " + action);
    }
  }

  private void greet() {
    if (channel != null) {
      channel.writeAndFlush(PeerHello.frame(node.self()));
    }
  }

  private void announce() {
    backoff.reset();
    reachable.put(peer, this);
    LOG.log(System.Logger.Level.DEBUG, "peers: connected to " + peer + " at " + address);
  }

  private void flush() {
    while (!held.isEmpty()) {
      PeerFrame frame = held.remove();
      if (!write(frame)) {
        pending.fail(frame.correlation(), refusalCause());
      }
    }
  }

  private void failRequests() {
    reachable.remove(peer, this);
    held.clear();
    pending.failAll(lastCause);
  }

  private void watchUse() {
    used = false;
    later(node.options().idleTimeout(), this::closeIfUnused);
  }

  private void closeIfUnused() {
    if (state.state() != LinkState.READY) {
      return;
    }
    if (kept || used || pending.size() > 0) {
      watchUse();
    } else {
      fire(LinkEvent.UNUSED);
    }
  }

  private void backOff() {
    later(backoff.next(), () -> fire(LinkEvent.DUE));
  }

  /** Runs a task later in place of the one that waits; a state waits for one thing only. */
  private void later(Duration delay, Runnable task) {
    cancelTimer();
    timer = eventLoop.schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void cancelTimer() {
    if (timer != null) {
      timer.cancel(false);
    }
  }

  private void disconnect() {
    Channel former = channel;
    channel = null;
    if (former != null) {
      former.close();
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
