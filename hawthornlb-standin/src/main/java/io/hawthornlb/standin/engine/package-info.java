/** The stand-in for a model engine: an emulator with continuous batching. */
@NullMarked
package io.hawthornlb.standin.engine;

import org.jspecify.annotations.NullMarked;
