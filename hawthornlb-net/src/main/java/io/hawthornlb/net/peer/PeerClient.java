package io.hawthornlb.net.peer;

import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.peer.PeerTransport;
import java.util.List;

/** Opens connections to peers and keeps them; stages complete on a thread of the client. */
public interface PeerClient extends PeerTransport, AutoCloseable {

  /**
   * Replaces the known peers; connections to peers that are no longer listed are closed.
   *
   * <p>Endpoints and the own instance are passed over. Until the first call only the peers that the
   * client was made with are known.
   */
  void updatePeers(List<ListedProcess> listed);

  /** Closes all connections; requests in progress fail. */
  @Override
  void close();
}
