package io.hawthornlb.app.batch;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hawthornlb.core.model.HeaderField;
import io.hawthornlb.net.endpoint.EndpointCall;
import io.hawthornlb.net.endpoint.EndpointCallException;
import io.hawthornlb.net.endpoint.EndpointClient;
import io.hawthornlb.net.endpoint.EndpointFault;
import io.hawthornlb.net.endpoint.EngineStreams;
import io.hawthornlb.net.endpoint.TrafficKind;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;

/**
 * One execution of an item at an endpoint. The answer is streamed, so that an execution can be
 * cancelled and resumed.
 */
final class ItemExecution {

  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

  private final EndpointClient endpoints;
  private final ObjectMapper mapper;
  private final String address;
  private final LoadedItem loaded;
  private final ItemListener listener;
  private final Disposable subscription;
  private volatile int tokens;

  /**
   * Starts the execution.
   *
   * @param resume whether to resume a stream that the endpoint may have kept from an earlier
   *     execution; the execution starts over if the endpoint cannot resume it
   */
  ItemExecution(
      EndpointClient endpoints,
      ObjectMapper mapper,
      String address,
      LoadedItem loaded,
      boolean resume,
      ItemListener listener) {
    this.endpoints = endpoints;
    this.mapper = mapper;
    this.address = address;
    this.loaded = loaded;
    this.listener = listener;
    StreamedAnswer answer = new StreamedAnswer(mapper);
    Flux<String> events = resume ? resumeStream() : startStream();
    this.subscription =
        events.subscribe(
            data -> onEvent(answer, data), listener::failed, () -> onStreamEnd(answer));
  }

  /** Returns the number of tokens received so far. */
  int tokens() {
    return tokens;
  }

  /** Cancels the execution. The endpoint keeps the tokens that it has generated. */
  void cancel() {
    EngineStreams.cancel(endpoints, address, loaded.requestId());
    subscription.dispose();
  }

  private void onEvent(StreamedAnswer answer, String data) {
    answer.add(data);
    tokens = answer.tokens();
    listener.progressed(tokens);
  }

  private void onStreamEnd(StreamedAnswer answer) {
    if (answer.complete()) {
      listener.done(answer.json(), answer.tokens());
    } else {
      listener.failed(
          new EndpointCallException(EndpointFault.BROKEN, "the stream ended early", null));
    }
  }

  private Flux<String> resumeStream() {
    EndpointCall call = EngineStreams.resume(address, loaded.requestId(), 0, TrafficKind.BATCH);
    return endpoints
        .events(call, IDLE_TIMEOUT)
        .onErrorResume(
            EndpointCallException.class,
            error -> error.fault() == EndpointFault.UNREADABLE ? startStream() : Flux.error(error));
  }

  private Flux<String> startStream() {
    EndpointCall call =
        new EndpointCall(
            address,
            "POST",
            loaded.content().url(),
            List.of(
                new HeaderField(EndpointCall.REQUEST_ID_HEADER, loaded.requestId()),
                new HeaderField("Content-Type", "application/json")),
            streamedBody(),
            TrafficKind.BATCH);
    return endpoints.events(call, IDLE_TIMEOUT);
  }

  private byte[] streamedBody() {
    try {
      ObjectNode body = (ObjectNode) mapper.readTree(loaded.content().body());
      body.put("stream", true);
      return body.toString().getBytes(StandardCharsets.UTF_8);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("the body of an accepted item is no JSON", e);
    }
  }
}
