package io.hawthornlb.standin.fault.support;

import io.hawthornlb.standin.fault.ActiveFaults;
import io.hawthornlb.standin.support.StandinServer;
import io.micronaut.context.annotation.Requires;
import io.micronaut.context.event.BeanCreatedEvent;
import io.micronaut.context.event.BeanCreatedEventListener;
import io.micronaut.http.netty.channel.ChannelPipelineCustomizer;
import io.micronaut.http.server.netty.NettyServerCustomizer;
import io.netty.channel.Channel;
import jakarta.inject.Singleton;
import org.jspecify.annotations.Nullable;

/** Adds a {@link FaultChannelHandler} to the pipeline of each connection. */
@Singleton
@Requires(property = StandinServer.STANDIN_PROPERTY)
final class FaultPipelineInstaller
    implements BeanCreatedEventListener<NettyServerCustomizer.Registry> {

  private final ActiveFaults faults;

  FaultPipelineInstaller(ActiveFaults faults) {
    this.faults = faults;
  }

  @Override
  public NettyServerCustomizer.Registry onCreated(
      BeanCreatedEvent<NettyServerCustomizer.Registry> event) {
    NettyServerCustomizer.Registry registry = event.getBean();
    registry.register(new Installer(null));
    return registry;
  }

  private final class Installer implements NettyServerCustomizer {

    private final @Nullable Channel channel;

    Installer(@Nullable Channel channel) {
      this.channel = channel;
    }

    @Override
    public NettyServerCustomizer specializeForChannel(Channel specialized, ChannelRole role) {
      return new Installer(specialized);
    }

    @Override
    public void onStreamPipelineBuilt() {
      if (channel != null) {
        channel
            .pipeline()
            .addAfter(
                ChannelPipelineCustomizer.HANDLER_HTTP_SERVER_CODEC,
                "hawthornlb-faults",
                new FaultChannelHandler(faults));
      }
    }
  }
}
