package io.hawthornlb.app.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.hawthornlb.app.dispatch.ChatCall;
import io.hawthornlb.core.catalogue.Catalogue;
import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.catalogue.ServiceKind;
import io.hawthornlb.core.catalogue.WorkspaceEntry;
import io.hawthornlb.core.model.Finding;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RefusalReason;
import io.hawthornlb.core.model.ServiceName;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Parses and validates a chat completion request, and reports all its faults together. */
public final class ChatCallReader {

  private static final String SOURCE = "body";
  private static final int DEFAULT_MAX_TOKENS = 256;
  private static final int MAX_TOKENS_LIMIT = 1 << 20;
  private static final int CHARACTERS_PER_TOKEN = 4;

  private final ObjectMapper mapper;

  /** Creates a reader that parses bodies with the given mapper. */
  public ChatCallReader(ObjectMapper mapper) {
    this.mapper = mapper;
  }

  /** Returns the validated request, or a refusal that lists all faults of the body. */
  public Either<Refusal, ChatCall> read(
      byte[] body, WorkspaceEntry workspace, Catalogue catalogue) {
    Either<Refusal, JsonNode> parsed = parse(body);
    if (parsed.isLeft()) {
      return Either.left(parsed.getLeft());
    }
    JsonNode root = parsed.get();
    List<Finding> findings = new ArrayList<>();
    Optional<ServiceEntry> service = service(root, catalogue, findings);
    checkMessages(root.path("messages"), findings);
    checkStream(root.path("stream"), findings);
    int maxTokens = maxTokens(root, findings);
    if (!findings.isEmpty() || service.isEmpty()) {
      return Either.left(refusal(root, service, findings));
    }
    if (body.length > service.get().limits().bodyBytes()) {
      return Either.left(tooLarge(service.get()));
    }
    return Either.right(call(root, body, workspace, service.get(), maxTokens));
  }

  private Either<Refusal, JsonNode> parse(byte[] body) {
    try {
      JsonNode root = mapper.readTree(body);
      if (root != null && root.isObject()) {
        return Either.right(root);
      }
      return Either.left(invalid(List.of(finding(1, "", "expected a JSON object"))));
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 0 : Math.max(0, e.getLocation().getLineNr());
      return Either.left(
          invalid(List.of(finding(line, "", "broken JSON: " + e.getOriginalMessage()))));
    } catch (IOException e) {
      return Either.left(invalid(List.of(finding(0, "", "unreadable: " + e.getMessage()))));
    }
  }

  private static Optional<ServiceEntry> service(
      JsonNode root, Catalogue catalogue, List<Finding> findings) {
    String model = root.path("model").asText("");
    if (model.isBlank()) {
      findings.add(finding(0, "model", "missing; give the name of a service"));
      return Optional.empty();
    }
    Optional<ServiceEntry> service =
        catalogue
            .service(new ServiceName(model))
            .filter(entry -> entry.kind() == ServiceKind.ENGINE);
    if (service.isEmpty()) {
      findings.add(finding(0, "model", "no service named " + model + "; see GET /v1/models"));
    }
    return service;
  }

  private static void checkMessages(JsonNode messages, List<Finding> findings) {
    if (!messages.isArray() || messages.isEmpty()) {
      findings.add(finding(0, "messages", "expected an array of at least one message"));
      return;
    }
    for (int i = 0; i < messages.size(); i++) {
      JsonNode message = messages.get(i);
      String path = "messages[" + i + "]";
      if (!message.path("role").isTextual()) {
        findings.add(finding(0, path + ".role", "expected a text"));
      }
      JsonNode content = message.path("content");
      if (!content.isTextual() && !content.isArray()) {
        findings.add(finding(0, path + ".content", "expected a text or an array of parts"));
      }
    }
  }

  private static void checkStream(JsonNode stream, List<Finding> findings) {
    if (!stream.isMissingNode() && !stream.isBoolean()) {
      findings.add(finding(0, "stream", "expected true or false"));
    }
  }

  private static int maxTokens(JsonNode root, List<Finding> findings) {
    String name = root.has("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
    JsonNode value = root.path(name);
    if (value.isMissingNode() || value.isNull()) {
      return DEFAULT_MAX_TOKENS;
    }
    if (!value.isInt() || value.asInt() < 1 || value.asInt() > MAX_TOKENS_LIMIT) {
      findings.add(finding(0, name, "expected a whole number from 1 to " + MAX_TOKENS_LIMIT));
      return DEFAULT_MAX_TOKENS;
    }
    return value.asInt();
  }

  private static ChatCall call(
      JsonNode root, byte[] body, WorkspaceEntry workspace, ServiceEntry service, int maxTokens) {
    JsonNode messages = root.path("messages");
    int characters = 0;
    for (JsonNode message : messages) {
      characters += PrefixHashes.content(message).length();
    }
    return new ChatCall(
        workspace,
        service,
        root.path("stream").asBoolean(false),
        maxTokens,
        characters / CHARACTERS_PER_TOKEN,
        PrefixHashes.of(messages),
        body);
  }

  private static Refusal refusal(
      JsonNode root, Optional<ServiceEntry> service, List<Finding> findings) {
    boolean onlyUnknownService =
        service.isEmpty() && findings.size() == 1 && root.path("model").isTextual();
    if (onlyUnknownService && !root.path("model").asText().isBlank()) {
      return Refusal.notRun(RefusalReason.NOT_FOUND, findings.get(0).message())
          .withFindings(findings);
    }
    return invalid(findings);
  }

  private static Refusal invalid(List<Finding> findings) {
    return Refusal.notRun(
            RefusalReason.INVALID_REQUEST, "the request has " + findings.size() + " fault(s)")
        .withFindings(findings);
  }

  private static Refusal tooLarge(ServiceEntry service) {
    return Refusal.notRun(
        RefusalReason.TOO_LARGE,
        "the body limit of " + service.name() + " is " + service.limits().bodyBytes() + " bytes");
  }

  private static Finding finding(int line, String path, String message) {
    return new Finding(SOURCE, line, path, message);
  }
}
