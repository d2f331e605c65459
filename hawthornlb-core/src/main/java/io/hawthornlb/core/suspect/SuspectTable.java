package io.hawthornlb.core.suspect;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.EndpointId;
import java.time.Instant;
import java.util.List;
import java.util.Set;

/** Counts crashes by fingerprint, with the counts of peers; confined to one thread. */
public interface SuspectTable {

  /** Decides on a request, given the endpoints of its service that take work. */
  Verdict judge(Fingerprint fingerprint, Set<EndpointId> endpoints, Instant now);

  /** Notes that a suspect starts alone at an endpoint and returns what peers must hear. */
  List<Effect> onAloneStarted(Fingerprint fingerprint, EndpointId endpoint, Instant now);

  /** Notes that a suspect that ran alone has ended without a crash. */
  List<Effect> onAloneSucceeded(Fingerprint fingerprint, EndpointId endpoint, Instant now);

  /**
   * Notes that a suspect has left the endpoint where it ran alone, neither well nor by a crash.
   *
   * <p>It stays a suspect; the endpoint is open again to all. Does nothing if the suspect does not
   * run alone there.
   */
  List<Effect> onAloneEnded(Fingerprint fingerprint, EndpointId endpoint, Instant now);

  /** Takes a crash with the own requests that ran at the endpoint. */
  List<Effect> onCrash(EndpointId endpoint, List<Fingerprint> running, Instant now);

  /** Takes a crash that a peer saw. */
  void onNotice(CrashNotice notice, Instant now);

  /** Takes the end of a suspicion from a peer. */
  void onClear(ClearNotice notice, Instant now);

  /** Takes a quarantine from a peer. */
  void onQuarantine(QuarantineNotice notice, Instant now);

  /** Returns notices that are sent again because a message may be lost, and forgets old ones. */
  List<Effect> onTick(Instant now);
}
