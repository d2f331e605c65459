package io.hawthornlb.app.http;

import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.catalogue.ServiceKind;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import java.util.Comparator;
import java.util.List;

/** Lists the services that a chat completion request can name as its model. */
@Controller("/v1/models")
@Requires(property = "hawthornlb.role", value = "entry")
public class ModelsController {

  private final Authenticator authenticator;
  private final CatalogueSource catalogue;

  /** Creates the controller. */
  public ModelsController(Authenticator authenticator, CatalogueSource catalogue) {
    this.authenticator = authenticator;
    this.catalogue = catalogue;
  }

  /** Returns all services of kind engine, sorted by name. */
  @Get
  public MutableHttpResponse<?> list(HttpRequest<?> request) {
    return authenticator
        .workspace(request)
        .<MutableHttpResponse<?>>fold(
            ProblemResponses::of, workspace -> HttpResponse.ok(new ModelList("list", models())));
  }

  private List<Model> models() {
    return catalogue.current().catalogue().services().values().stream()
        .filter(entry -> entry.kind() == ServiceKind.ENGINE)
        .sorted(Comparator.comparing(ServiceEntry::name))
        .map(entry -> new Model(entry.name().value(), "model", entry.owner()))
        .toList();
  }

  /**
   * List of models in the format that chat completion clients expect.
   *
   * @param object always {@code list}
   * @param data the models, sorted by name
   */
  public record ModelList(String object, List<Model> data) {}

  /**
   * One model.
   *
   * @param id the name of the service
   * @param object always {@code model}
   * @param ownedBy the owner of the service according to the catalogue
   */
  public record Model(
      String id,
      String object,
      @com.fasterxml.jackson.annotation.JsonProperty("owned_by") String ownedBy) {}
}
