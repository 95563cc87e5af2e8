"""Header transforms: what one is, and how it runs (docs/transforms.md). Imported only where configured."""
