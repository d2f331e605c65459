package io.hawthornlb.net.peer;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.net.codec.MessagePackCodec;
import io.hawthornlb.net.tls.PeerSecurity;
import io.netty.channel.EventLoopGroup;

/**
 * Context shared by the peer client and the peer server of one instance.
 *
 * @param self the id of this instance
 * @param codec encodes the messages
 * @param security secures the connections
 * @param options the timeouts and limits of the connections
 * @param eventLoops the threads of the connections; the caller shuts them down
 */
public record PeerNode(
    InstanceId self,
    MessagePackCodec<PeerMessage> codec,
    PeerSecurity security,
    PeerOptions options,
    EventLoopGroup eventLoops) {}
