package io.hawthornlb.net.http;

import io.hawthornlb.http.support.GrammarScanner;
import io.hawthornlb.http.support.ResponseGuard;
import io.micronaut.core.convert.ConversionService;
import io.micronaut.core.io.ResourceResolver;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.bind.DefaultRequestBinderRegistry;
import io.micronaut.http.client.HttpClientConfiguration;
import io.micronaut.http.client.LoadBalancer;
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
import java.net.URI;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Creates HTTP clients whose connections check the bytes of responses before decoding them. */
public final class GuardedHttpClients {

  private static final String CODEC = ChannelPipelineCustomizer.HANDLER_HTTP_CLIENT_CODEC;

  private GuardedHttpClients() {}

  /**
   * Creates a client.
   *
   * @param base address to which paths are relative; null if each request names its server
   */
  @SuppressWarnings("deprecation") // The builder that replaces the constructor takes no customizer.
  public static DefaultHttpClient create(
      @Nullable URI base, HttpClientConfiguration configuration, PipelineExtension extension) {
    // Codecs come with a client only; this one opens no connection.
    try (DefaultHttpClient defaults = new DefaultHttpClient()) {
      return new DefaultHttpClient(
          base == null ? null : LoadBalancer.fixed(base),
          null,
          configuration,
          null,
          new NoFilters(),
          List.of(),
          new DefaultThreadFactory("http-client", true),
          new NettyClientSslBuilder(new ResourceResolver()),
          defaults.getMediaTypeCodecRegistry(),
          defaults.getHandlerRegistry(),
          WebSocketBeanRegistry.EMPTY,
          new DefaultRequestBinderRegistry(ConversionService.SHARED),
          null,
          NioSocketChannel::new,
          NioDatagramChannel::new,
          new Customizer(extension, null),
          null,
          ConversionService.SHARED,
          null);
    }
  }

  /** Calls pass no filters. */
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
  private record Customizer(PipelineExtension extension, @Nullable Channel channel)
      implements NettyClientCustomizer {

    @Override
    public NettyClientCustomizer specializeForChannel(Channel specialized, ChannelRole role) {
      return new Customizer(extension, specialized);
    }

    @Override
    public void onStreamPipelineBuilt() {
      if (channel != null) {
        HeadRequestWatch heads = new HeadRequestWatch();
        ResponseGuard guard = new ResponseGuard(new GrammarScanner(heads::answersHead));
        channel.pipeline().addBefore(CODEC, "hawthornlb-response-guard", guard);
        channel.pipeline().addAfter(CODEC, "hawthornlb-head-requests", heads);
        extension.extend(channel, CODEC);
      }
    }
  }
}
