package io.hawthornlb.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;
import java.time.Clock;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class CoreDependenciesTest {

  /**
   * Excludes test classes. The option of the library expects the build folder inside the module,
   * but this build has it elsewhere.
   */
  private static final ImportOption WITHOUT_TESTS =
      location -> !location.contains("/test-classes/");

  private final JavaClasses core =
      new ClassFileImporter().withImportOption(WITHOUT_TESTS).importPackages("io.hawthornlb.core");

  @Test
  void coreUsesNoIoAndNoFramework() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.net..", "java.nio.channels..", "java.util.concurrent.locks..", "io.micronaut..")
        .check(core);
    noClasses().should().dependOnClassesThat().resideInAnyPackage("io.netty..").check(core);
    noClasses().should().dependOnClassesThat().areAssignableTo(Thread.class).check(core);
  }

  @Test
  void coreDoesNotReadTheSystemClock() {
    noClasses().should().callMethod(Instant.class, "now").check(core);
    noClasses().should().callMethod(System.class, "currentTimeMillis").check(core);
    noClasses().should().callMethod(System.class, "nanoTime").check(core);
    noClasses().should().dependOnClassesThat().areAssignableTo(Clock.class).check(core);
  }

  @Test
  void packagesOfTheCoreHaveNoCycles() {
    SlicesRuleDefinition.slices()
        .matching("io.hawthornlb.core.(*)..")
        .should()
        .beFreeOfCycles()
        .check(core);
  }
}
