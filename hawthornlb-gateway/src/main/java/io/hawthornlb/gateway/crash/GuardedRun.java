package io.hawthornlb.gateway.crash;

import io.hawthornlb.core.crash.Admission;
import io.hawthornlb.core.crash.CrashBlock;
import io.hawthornlb.core.crash.PromptParts;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** One request or batch item, at one endpoint after the other, as the guard sees it. */
public final class GuardedRun {

  private final CrashGuard guard;
  private final String requestId;
  private final PromptParts parts;
  private @Nullable EndpointIncarnation endpoint;
  private @Nullable InetSocketAddress address;
  private boolean begun;
  private boolean probing;

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
    probing = admission.probe();
    return admission.block();
  }

  /** Records that an endpoint is sent the request. */
  public void sentTo(EndpointIncarnation to, InetSocketAddress at) {
    endpoint = to;
    address = at;
    begun = false;
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

  /** Records that the connection to the endpoint broke. */
  public void broken() {
    probing = false;
    if (!begun && endpoint != null && address != null) {
      guard.broken(new BrokenRun(requestId, parts, endpoint, address));
    }
  }
}
