/** The manifest that operators publish and its validation. */
@NullMarked
package org.hickorycleat.model.manifest;

import org.jspecify.annotations.NullMarked;
