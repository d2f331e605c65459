/** Which parts of prompts crash the endpoints that begin to write an answer on them. */
@NullMarked
package io.hawthornlb.core.crash;

import org.jspecify.annotations.NullMarked;
