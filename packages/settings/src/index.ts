/** Settings of processes, read from TOML files and validated against schemas. */
export * from './readToml';
export * from './settingsSchema';
