package io.hawthornlb.net.peer;

import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.peer.PeerTransport;
import java.util.List;

/** Opens and maintains connections to peers. Stages complete on a thread of the client. */
public interface PeerClient extends PeerTransport, AutoCloseable {

  /**
   * Replaces the known peers, and closes the connections to peers that are no longer listed.
   *
   * <p>Endpoints and this instance itself are ignored. Until the first call, the client knows only
   * the peers with which it was created.
   */
  void updatePeers(List<ListedProcess> listed);

  /** Closes all connections. Requests in progress fail. */
  @Override
  void close();
}
