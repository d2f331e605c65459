package io.hawthornlb.app.settings;

import io.hawthornlb.core.model.Finding;
import io.vavr.control.Validation;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;

/** Reads text files and reports failures as findings. */
public final class TextFiles {

  private TextFiles() {}

  /** Returns the content of a UTF-8 file, or a finding that says why it cannot be read. */
  public static Validation<List<Finding>, String> read(Path file) {
    try {
      return Validation.valid(Files.readString(file));
    } catch (NoSuchFileException e) {
      return invalid(file, "no such file");
    } catch (IOException e) {
      return invalid(file, "cannot be read: " + e.getMessage());
    }
  }

  private static Validation<List<Finding>, String> invalid(Path file, String message) {
    return Validation.invalid(List.of(new Finding(file.toString(), 0, "", message)));
  }
}
