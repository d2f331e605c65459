package io.hawthornlb.net.peer;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.net.codec.MessagePackCodec;
import io.hawthornlb.net.tls.PeerSecurity;
import io.netty.channel.EventLoopGroup;

/**
 * What client and server of one instance share.
 *
 * @param self the own instance
 * @param codec encodes the messages
 * @param security secures the connections
 * @param options times and bounds
 * @param eventLoops threads for the connections; the caller stops them
 */
public record PeerNode(
    InstanceId self,
    MessagePackCodec<PeerMessage> codec,
    PeerSecurity security,
    PeerOptions options,
    EventLoopGroup eventLoops) {}
