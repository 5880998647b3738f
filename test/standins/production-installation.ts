/**
 * Installs the version in production, bundled in test/fixtures/production, in a folder inside this repository, as a
 * rollout does. There its search for `peers.proto` tries `src/peers/` of this repository before its own file, so a file
 * of that name in `src/peers/` would be read instead.
 */
import { copyFileSync, mkdirSync, renameSync } from 'node:fs';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

const FIXTURES = new URL('../../../../test/fixtures/production/', import.meta.url);

/** The bundle lies four folders below the repository: `target/mixed-versions/production/target/`. */
const INSTALLATION = new URL('../../../mixed-versions/production/', import.meta.url);

const BUNDLE = 'target/controller.js';

/** Paths of the installed files, by the name of the fixture that each is copied from. */
const INSTALLED_FILES = { 'controller.js': BUNDLE, 'peers.proto': 'src/peers/peers.proto' };

/** Copies the files and returns the bundle's URL. Processes may install at the same time: each file appears whole. */
export const installProduction = (): URL => {
  for (const [fixture, path] of Object.entries(INSTALLED_FILES)) {
    const file = fileURLToPath(new URL(path, INSTALLATION));
    const copy = `${file}.${process.pid}`;
    mkdirSync(dirname(file), { recursive: true });
    copyFileSync(new URL(fixture, FIXTURES), copy);
    renameSync(copy, file);
  }
  return new URL(BUNDLE, INSTALLATION);
};
