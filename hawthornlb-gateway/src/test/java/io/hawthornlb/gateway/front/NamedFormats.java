package io.hawthornlb.gateway.front;

import io.hawthornlb.gateway.decode.UnreadableException;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.job.JobCall;
import io.hawthornlb.gateway.job.JobFormat;
import io.hawthornlb.gateway.job.JobResult;
import io.hawthornlb.gateway.process.SourceFormats;
import io.hawthornlb.gateway.route.RoutingConfig;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Formats that look objects up by name instead of decoding bytes. */
final class NamedFormats implements SourceFormats, JobFormat {

  final Map<String, RoutingConfig> configs = new HashMap<>();
  final Map<String, EndpointRecord> endpoints = new HashMap<>();

  @Override
  public String configTopic() {
    return "config";
  }

  @Override
  public String configKey() {
    return "config";
  }

  @Override
  public String endpointTopic() {
    return "endpoints";
  }

  @Override
  public RoutingConfig config(byte[] value) {
    return configs.get(new String(value, StandardCharsets.UTF_8));
  }

  @Override
  public EndpointRecord endpoint(String id, byte[] value) {
    return endpoints.get(id);
  }

  @Override
  public Optional<JobCall> call(FrontRequest request) {
    // Every request to a host that accepts jobs is parsed as a job.
    throw new UnreadableException("body", "not a job");
  }

  @Override
  public Optional<String> namedJob(FrontRequest request) {
    return Optional.empty();
  }

  @Override
  public FrontRequest existenceCheck(FrontRequest submission) {
    return submission;
  }

  @Override
  public byte[] results(int total, int after, List<JobResult> results) {
    return new byte[0];
  }

  @Override
  public String resultsType() {
    return "text/plain";
  }
}
