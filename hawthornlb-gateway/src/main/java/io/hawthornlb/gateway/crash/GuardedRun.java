package io.hawthornlb.gateway.crash;

import io.hawthornlb.core.crash.Admission;
import io.hawthornlb.core.crash.CrashBlock;
import io.hawthornlb.core.crash.PromptParts;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** One request or batch item, at one endpoint after the other, as the guard sees it. */
public final class GuardedRun {

  private final CrashGuard guard;
  private final String requestId;
  private final PromptParts parts;
  private @Nullable EndpointIncarnation endpoint;
  private @Nullable InetSocketAddress address;
  private boolean begun;
  private Set<String> probed = Set.of();
  private boolean probing;
  private boolean sent;

  /** Creates a run that has not been sent yet. */
  public GuardedRun(CrashGuard guard, String requestId, PromptParts parts) {
    this.guard = guard;
    this.requestId = requestId;
    this.parts = parts;
  }

  /** Returns why the request need not wait for an endpoint; empty if it may be sent to one. */
  public Optional<CrashBlock> check() {
    return probing ? Optional.empty() : guard.check(parts);
  }

  /** Returns why the request must not be sent to an endpoint now; empty if it is sent. */
  public Optional<CrashBlock> admit() {
    if (probing) {
      // The endpoint before has not got the request, so that the probe is still to be made.
      return Optional.empty();
    }
    Admission admission = guard.admit(parts);
    probed = admission.probed();
    probing = !probed.isEmpty();
    sent = false;
    return admission.block();
  }

  /** Records that an endpoint is sent the request. */
  public void sentTo(EndpointIncarnation to, InetSocketAddress at) {
    endpoint = to;
    address = at;
    begun = false;
    sent = true;
  }

  /** Records that the endpoint has begun to write its answer; only the first call counts. */
  public void begun() {
    if (!begun) {
      begun = true;
      guard.began(requestId, parts);
    }
  }

  /** Returns whether the endpoint has begun to write its answer. */
  public boolean hasBegun() {
    return begun;
  }

  /** Records that no endpoint has begun to work on the request since it was admitted. */
  public void notRun() {
    sent = false;
  }

  /** Records that the request is not sent any more unless it is admitted again. */
  public void end() {
    if (probing && !sent) {
      guard.unsent(probed);
    }
    probing = false;
  }

  /** Returns whether the request finds out whether a part still crashes endpoints. */
  public boolean probing() {
    return probing;
  }

  /** Records that the connection to the endpoint broke. */
  public void broken() {
    probing = false;
    if (!begun && endpoint != null && address != null) {
      guard.broken(new BrokenRun(requestId, parts, endpoint, address));
    }
  }
}
