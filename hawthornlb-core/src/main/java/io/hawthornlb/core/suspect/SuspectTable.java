package io.hawthornlb.core.suspect;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.EndpointId;
import java.time.Instant;
import java.util.List;
import java.util.Set;

/**
 * Records which requests ran at endpoints that crashed, as observed by this instance and by its
 * peers. Implementations are confined to one thread.
 */
public interface SuspectTable {

  /** Returns how a request may run, given the endpoints of its service that accept work. */
  Verdict judge(Fingerprint fingerprint, Set<EndpointId> endpoints, Instant now);

  /**
   * Records that a suspect starts to run alone at an endpoint, and returns the notices for peers.
   */
  List<Effect> onAloneStarted(Fingerprint fingerprint, EndpointId endpoint, Instant now);

  /**
   * Records that a suspect that ran alone has ended without a crash, and returns the notices for
   * peers.
   */
  List<Effect> onAloneSucceeded(Fingerprint fingerprint, EndpointId endpoint, Instant now);

  /**
   * Records that a suspect has left the endpoint where it ran alone, neither with success nor with
   * a crash, and returns the notices for peers.
   *
   * <p>The request stays a suspect; the endpoint accepts other requests again. Does nothing if the
   * suspect does not run alone there.
   */
  List<Effect> onAloneEnded(Fingerprint fingerprint, EndpointId endpoint, Instant now);

  /**
   * Records a crash that this instance observed, with its own requests that ran at the endpoint,
   * and returns the notices for peers.
   */
  List<Effect> onCrash(EndpointId endpoint, List<Fingerprint> running, Instant now);

  /** Records a crash that a peer observed. */
  void onNotice(CrashNotice notice, Instant now);

  /** Records that a peer has cleared a suspect. */
  void onClear(ClearNotice notice, Instant now);

  /** Records a quarantine that a peer announced. */
  void onQuarantine(QuarantineNotice notice, Instant now);

  /**
   * Removes expired suspects and quarantines, and returns the notices to send a second time, since
   * a message may be lost.
   */
  List<Effect> onTick(Instant now);
}
