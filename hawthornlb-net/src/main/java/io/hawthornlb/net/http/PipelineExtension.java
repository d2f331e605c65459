package io.hawthornlb.net.http;

import io.netty.channel.Channel;

/** Adds handlers to the pipeline of a connection. */
@FunctionalInterface
public interface PipelineExtension {

  /** Extension that adds nothing. */
  PipelineExtension NONE = (channel, codec) -> {};

  /** Adds handlers behind the codec with the given name. */
  void extend(Channel channel, String codec);
}
