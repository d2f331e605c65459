package io.hawthornlb.app.settings;

import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.net.peer.PeerOptions;
import java.time.Duration;
import java.util.List;

/**
 * Settings for connections to other entry instances.
 *
 * @param address the address on which this instance listens for peers
 * @param tls the settings by which peers authenticate each other
 * @param probe the interval at which an idle connection is probed
 * @param silence the time without any received byte after which a connection is closed
 * @param frameLimit the maximum size of a frame in bytes
 * @param known the peers to connect to before the platform's instance list arrives
 */
public record PeerSettings(
    NetworkAddress address,
    TlsSettings tls,
    Duration probe,
    Duration silence,
    int frameLimit,
    List<KnownPeer> known) {

  /** Default interval between probes. */
  public static final Duration DEFAULT_PROBE = Duration.ofMillis(500);

  /** Default time without any received byte after which a connection is closed. */
  public static final Duration DEFAULT_SILENCE = Duration.ofMillis(1_500);

  /** Default maximum size of a frame in bytes. */
  public static final int DEFAULT_FRAME_LIMIT = 4 << 20;

  /** Creates the settings; the list of peers is copied. */
  public PeerSettings {
    known = List.copyOf(known);
  }

  /** Returns the options for connections; options without a settings key have their defaults. */
  public PeerOptions options() {
    return PeerOptions.DEFAULT.withProbes(probe, silence).withFrameLimit(frameLimit);
  }

  /** Returns the peers to connect to before the platform's instance list arrives. */
  public List<ListedProcess> knownProcesses() {
    return known.stream().map(KnownPeer::toListedProcess).toList();
  }
}
