/** Settings of processes: TOML, checked whole in one place. */
export * from './readToml';
export * from './settingsSchema';
