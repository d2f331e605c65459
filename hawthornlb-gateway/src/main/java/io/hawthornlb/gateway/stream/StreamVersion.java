package io.hawthornlb.gateway.stream;

import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Decides which endpoints may continue one stream. The first event fixes the origin; before it, any
 * endpoint may be used.
 *
 * <p>An endpoint may restart under its id with another version, and its list entry shows that late.
 * A request that outlives the change was sent to the new process, so each endpoint's version is
 * determined again when its first event arrives and before the stream is continued elsewhere. If it
 * cannot be determined, nothing may continue the stream.
 */
public final class StreamVersion {

  private final EndpointDirectory directory;
  private @Nullable StreamOrigin origin;
  private @Nullable EndpointRecord target;
  private boolean targetBegan;
  private boolean unclear;

  /** Creates the decisions for a stream; its origin is null if it has no event yet. */
  public StreamVersion(EndpointDirectory directory, @Nullable StreamOrigin origin) {
    this.directory = directory;
    this.origin = origin;
  }

  /** Returns where the stream began; empty before its first event, or if that is unclear. */
  public Optional<StreamOrigin> origin() {
    return unclear ? Optional.empty() : Optional.ofNullable(origin);
  }

  /** Fixes the origin of a stream that began in an earlier attempt. */
  public void fix(StreamOrigin known) {
    origin = known;
  }

  /** Forgets the origin, because the stream begins anew. */
  public void reset() {
    origin = null;
    target = null;
    unclear = false;
  }

  /** Returns whether an endpoint may be sent the request. */
  public boolean accepts(EndpointRecord endpoint) {
    StreamOrigin fixed = origin;
    return !unclear && (fixed == null || fixed.matches(endpoint));
  }

  /** Records the endpoint that is sent the request, as listed. */
  public void sentTo(EndpointRecord endpoint) {
    target = endpoint;
    targetBegan = false;
  }

  /**
   * Returns whether the first event of the endpoint may be added to the stream; without an earlier
   * event, it fixes the origin.
   */
  public boolean admitsFirstEvent() {
    Optional<StreamOrigin> running = running();
    if (origin == null && !unclear) {
      origin = running.orElse(null);
      unclear = running.isEmpty();
      targetBegan = true;
      return true;
    }
    boolean same = !unclear && running.equals(Optional.ofNullable(origin));
    targetBegan |= same;
    return same;
  }

  /** Returns whether the stream may be continued elsewhere after the endpoint failed. */
  public boolean mayContinue() {
    if (targetBegan && !running().equals(Optional.ofNullable(origin))) {
      unclear = true;
    }
    return !unclear;
  }

  /** Returns the origin by which the endpoint's events count; empty if it cannot be determined. */
  private Optional<StreamOrigin> running() {
    EndpointRecord sent = target;
    if (sent == null) {
      return Optional.empty();
    }
    EndpointRecord running = directory.find(sent.id()).orElse(sent);
    EndpointIncarnation incarnation = running.incarnation();
    boolean restarted = incarnation.follows(sent.incarnation());
    boolean sameStart = incarnation.equals(sent.incarnation());
    boolean known = restarted || (sameStart && running.version().equals(sent.version()));
    return known
        ? Optional.of(new StreamOrigin(running.service(), running.version()))
        : Optional.empty();
  }
}
