/** Decides which parts of prompts are blocked, from crashes and begun answers. */
@NullMarked
package io.hawthornlb.core.crash.support;

import org.jspecify.annotations.NullMarked;
