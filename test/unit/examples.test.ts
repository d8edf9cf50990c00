/** The example files are valid. */
import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import t from 'tap';
import { readConfiguration } from '../../src/mysql/configuration/configuration.js';
import {
  clientSettingsSchema,
  controlSettingsSchema,
  proxySettingsSchema,
  readSettings,
} from '../../src/mysql/configuration/settings.js';

const EXAMPLES = fileURLToPath(new URL('../../../examples', import.meta.url));

function check(path: string, name: string): void {
  if (name.startsWith('control-')) readSettings(path, controlSettingsSchema);
  else if (name.startsWith('proxy-')) readSettings(path, proxySettingsSchema);
  else if (name === 'operator.yaml') readSettings(path, clientSettingsSchema);
  else readConfiguration(readFileSync(path, 'utf8'), path);
}

for (const deployment of ['quetzal', 'toplina']) {
  void t.test(`examples of ${deployment}`, (t) => {
    const folder = join(EXAMPLES, deployment);
    const files = readdirSync(folder);
    t.ok(files.includes(`${deployment}.yaml`));
    for (const name of files) t.doesNotThrow(() => check(join(folder, name), name), name);
    t.end();
  });
}
