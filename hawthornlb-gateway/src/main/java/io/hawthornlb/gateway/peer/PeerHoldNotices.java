package io.hawthornlb.gateway.peer;

import io.hawthornlb.gateway.job.HoldNotices;

/** Sends notices about held partitions to all other processes of the fleet, and receives theirs. */
public final class PeerHoldNotices implements HoldNotices {

  private final FleetView fleet;
  private final PeerTransport transport;

  /** Creates a sender and receiver of notices over a transport. */
  public PeerHoldNotices(FleetView fleet, PeerTransport transport) {
    this.fleet = fleet;
    this.transport = transport;
  }

  @Override
  public void held(int partition, long epoch) {
    PeerMessage.Held notice = new PeerMessage.Held(partition, epoch);
    fleet.others().forEach(other -> transport.send(other, notice));
  }

  @Override
  public void onHeld(Listener listener) {
    transport.onMessage(
        envelope -> {
          if (envelope.message() instanceof PeerMessage.Held held) {
            listener.onHeld(envelope.sender(), held.partition(), held.epoch());
          }
        });
  }
}
