/**
 * Guards against a code cache that is written but never used, for example under another file name: every start then
 * compiles the bundle again, and nothing else fails.
 */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { pathToFileURL } from 'node:url';
import t from 'tap';
import { loadCompiledModule } from '../../src/runtime/compiled_module.js';

const BUNDLE = '(function (exports, require, module) { exports.double = (value) => 2 * value; })';

interface Doubling {
  double(value: number): number;
}

void t.test('a second load uses the code cache that the first one wrote', (t) => {
  const path = join(t.testdir({}), 'bundle.cjs');
  writeFileSync(path, BUNDLE);
  const first = loadCompiledModule(pathToFileURL(path));
  t.equal((first.exports as Doubling).double(4), 8);
  t.notOk(first.isCodeReused, 'no code cache exists yet');
  t.equal(first.codeFile, `${path}.code`);
  writeFileSync(first.codeFile, first.storeCode());
  const second = loadCompiledModule(pathToFileURL(path));
  t.ok(second.isCodeReused);
  t.equal((second.exports as Doubling).double(4), 8);
  t.end();
});
