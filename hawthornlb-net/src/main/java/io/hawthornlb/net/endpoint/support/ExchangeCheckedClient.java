package io.hawthornlb.net.endpoint.support;

import io.micronaut.core.convert.ConversionService;
import io.micronaut.core.io.ResourceResolver;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.bind.DefaultRequestBinderRegistry;
import io.micronaut.http.client.HttpClientConfiguration;
import io.micronaut.http.client.filter.ClientFilterResolutionContext;
import io.micronaut.http.client.netty.DefaultHttpClient;
import io.micronaut.http.client.netty.NettyClientCustomizer;
import io.micronaut.http.client.netty.ssl.NettyClientSslBuilder;
import io.micronaut.http.filter.GenericHttpFilter;
import io.micronaut.http.filter.HttpClientFilterResolver;
import io.micronaut.http.netty.channel.ChannelPipelineCustomizer;
import io.micronaut.websocket.context.WebSocketBeanRegistry;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Creates HTTP clients whose connections pass on no response of another request. */
final class ExchangeCheckedClient {

  private ExchangeCheckedClient() {}

  /** Creates a client. */
  @SuppressWarnings("deprecation") // The builder that replaces the constructor takes no customizer.
  static DefaultHttpClient create(HttpClientConfiguration configuration) {
    // Codecs come with a client only; this one opens no connection.
    try (DefaultHttpClient defaults = new DefaultHttpClient()) {
      return new DefaultHttpClient(
          null,
          null,
          configuration,
          null,
          new NoFilters(),
          List.of(),
          new DefaultThreadFactory("endpoint-client", true),
          new NettyClientSslBuilder(new ResourceResolver()),
          defaults.getMediaTypeCodecRegistry(),
          defaults.getHandlerRegistry(),
          WebSocketBeanRegistry.EMPTY,
          new DefaultRequestBinderRegistry(ConversionService.SHARED),
          null,
          NioSocketChannel::new,
          NioDatagramChannel::new,
          new Customizer(null),
          null,
          ConversionService.SHARED,
          null);
    }
  }

  /** Calls to endpoints pass no filters. */
  private static final class NoFilters
      implements HttpClientFilterResolver<ClientFilterResolutionContext> {

    @Override
    public List<FilterEntry> resolveFilterEntries(ClientFilterResolutionContext context) {
      return List.of();
    }

    @Override
    public List<GenericHttpFilter> resolveFilters(
        HttpRequest<?> request, List<FilterEntry> filterEntries) {
      return List.of();
    }
  }

  /** Adds the check to the pipeline of each connection. */
  private record Customizer(@Nullable Channel channel) implements NettyClientCustomizer {

    @Override
    public NettyClientCustomizer specializeForChannel(Channel specialized, ChannelRole role) {
      return new Customizer(specialized);
    }

    @Override
    public void onStreamPipelineBuilt() {
      if (channel != null) {
        ExchangeIdHandler.addTo(channel, ChannelPipelineCustomizer.HANDLER_HTTP_CLIENT_CODEC);
      }
    }
  }
}
