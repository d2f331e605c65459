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
 * One execution of an item at an endpoint, as a stream, so that it can be cut short and resumed.
 */
final class ItemExecution {

  private static final Duration SILENCE = Duration.ofSeconds(30);

  private final EndpointClient endpoints;
  private final ObjectMapper mapper;
  private final String address;
  private final ItemWork work;
  private final ItemListener listener;
  private final Disposable subscription;
  private volatile int tokens;

  /** Starts the execution, resumed where the endpoint has kept a part of it. */
  ItemExecution(
      EndpointClient endpoints,
      ObjectMapper mapper,
      String address,
      ItemWork work,
      boolean resume,
      ItemListener listener) {
    this.endpoints = endpoints;
    this.mapper = mapper;
    this.address = address;
    this.work = work;
    this.listener = listener;
    StreamedAnswer answer = new StreamedAnswer(mapper);
    Flux<String> events = resume ? resumed() : anew();
    this.subscription =
        events.subscribe(data -> progress(answer, data), listener::failed, () -> ended(answer));
  }

  /** Returns the number of tokens so far. */
  int tokens() {
    return tokens;
  }

  /** Cuts the execution short; the endpoint keeps what it has generated. */
  void cancel() {
    EngineStreams.cancel(endpoints, address, work.requestId());
    subscription.dispose();
  }

  private void progress(StreamedAnswer answer, String data) {
    answer.event(data);
    tokens = answer.tokens();
    listener.progressed(tokens);
  }

  private void ended(StreamedAnswer answer) {
    if (answer.whole()) {
      listener.done(answer.json(), answer.tokens());
    } else {
      listener.failed(
          new EndpointCallException(EndpointFault.BROKEN, "the stream ended early", null));
    }
  }

  private Flux<String> resumed() {
    EndpointCall call = EngineStreams.resume(address, work.requestId(), 0, TrafficKind.BATCH);
    return endpoints
        .events(call, SILENCE)
        .onErrorResume(
            EndpointCallException.class,
            error -> error.fault() == EndpointFault.UNREADABLE ? anew() : Flux.error(error));
  }

  private Flux<String> anew() {
    EndpointCall call =
        new EndpointCall(
            address,
            "POST",
            work.content().url(),
            List.of(
                new HeaderField(EndpointCall.REQUEST_ID_HEADER, work.requestId()),
                new HeaderField("Content-Type", "application/json")),
            streamedBody(),
            TrafficKind.BATCH);
    return endpoints.events(call, SILENCE);
  }

  private byte[] streamedBody() {
    try {
      ObjectNode body = (ObjectNode) mapper.readTree(work.content().body());
      body.put("stream", true);
      return body.toString().getBytes(StandardCharsets.UTF_8);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("the body of an accepted item is no JSON", e);
    }
  }
}
