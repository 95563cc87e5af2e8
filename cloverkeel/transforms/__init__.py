"""Header transforms: their language, compiler and runtime (docs/transforms.md). Imported only if
configured."""
