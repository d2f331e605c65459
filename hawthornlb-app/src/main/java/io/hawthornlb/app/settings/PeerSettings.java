package io.hawthornlb.app.settings;

import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.net.peer.PeerOptions;
import java.time.Duration;
import java.util.List;

/**
 * How this instance talks to other entries.
 *
 * @param address where it listens for peers
 * @param tls how peers authenticate each other
 * @param probe how often a silent connection is probed
 * @param silence how long a connection may stay without any byte before it is given up
 * @param frameLimit the largest frame in bytes
 * @param known peers to reach before the platform's list has come
 */
public record PeerSettings(
    NetworkAddress address,
    TlsSettings tls,
    Duration probe,
    Duration silence,
    int frameLimit,
    List<KnownPeer> known) {

  /** How often to probe unless the settings say otherwise. */
  public static final Duration DEFAULT_PROBE = Duration.ofMillis(500);

  /** When to give a connection up unless the settings say otherwise. */
  public static final Duration DEFAULT_SILENCE = Duration.ofMillis(1_500);

  /** The largest frame unless the settings say otherwise. */
  public static final int DEFAULT_FRAME_LIMIT = 4 << 20;

  /** Copies the peers. */
  public PeerSettings {
    known = List.copyOf(known);
  }

  /** Returns the times and bounds for connections; those without a key have their defaults. */
  public PeerOptions options() {
    return PeerOptions.DEFAULT.withProbes(probe, silence).withFrameLimit(frameLimit);
  }

  /** Returns the peers to reach before the platform's list has come. */
  public List<ListedProcess> knownProcesses() {
    return known.stream().map(KnownPeer::listed).toList();
  }
}
