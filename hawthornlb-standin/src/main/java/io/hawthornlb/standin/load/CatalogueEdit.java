package io.hawthornlb.standin.load;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;
import java.util.List;

/**
 * An edit of the catalogue under load, which rests on the catalogue that the first edit of the run
 * found.
 *
 * @param key the key of an operator
 * @param without the services that this catalogue is put back without; if empty, it is put back
 *     whole
 */
@JsonDeserialize(builder = CatalogueEdit.Builder.class)
public record CatalogueEdit(String key, List<String> without) {

  /** Validates the components. */
  public CatalogueEdit {
    SettingsChecks.hasText(key, "key");
    without = List.copyOf(without);
  }

  /** Returns a builder that holds the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder for {@link CatalogueEdit}. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private String key = "";
    private List<String> without = List.of();

    private Builder() {}

    /** Sets the key of an operator; required. */
    public Builder key(String value) {
      key = value;
      return this;
    }

    /** Sets the services that the catalogue then lacks; none by default. */
    public Builder without(List<String> value) {
      without = value;
      return this;
    }

    /** Returns a validated edit. */
    public CatalogueEdit build() {
      return new CatalogueEdit(key, without);
    }
  }
}
