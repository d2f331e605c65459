/** The program: command line, settings and wiring. */
@NullMarked
package io.hawthornlb.app;

import org.jspecify.annotations.NullMarked;
