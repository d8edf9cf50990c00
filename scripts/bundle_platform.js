/**
 * Bundles the platform's programs: a small file that starts to listen, and one with the rest, whose compiled code is
 * stored beside it. A process that loads few files starts in less than half the time of one that loads all modules
 * by themselves, and stored code takes a third off that.
 *
 * Run it with the engine's flags of the programs (`deploy/system.toml`): code that was compiled under other flags is
 * not taken. Only files that differ are replaced, each at once, and a bundle's name tells its content: programs that
 * are started meanwhile find theirs.
 */
import { createHash } from 'node:crypto';
import { mkdirSync, readFileSync, readdirSync, renameSync, rmSync, writeFileSync } from 'node:fs';
import { basename, join, resolve } from 'node:path';
import { pathToFileURL } from 'node:url';
import { build } from 'esbuild';

const TARGET = 'target';
const HASH_DIGITS = 12;

const COMMON = {
  bundle: true,
  write: false,
  platform: 'node',
  target: 'node20',
  minify: true,
  sourcemap: false,
  logLevel: 'warning',
};

/**
 * Optional parts of the log library that are not used. It looks for them at each start and does without; told at once
 * that they are absent, it saves the search through all folders of modules.
 */
const ABSENT_MODULES = ['dtrace-provider', 'mv', 'source-map-support'];

/** Stands for the library of HTTPS, which the metrics library loads for a part of it that is not used. */
const EMPTY_HTTPS = {
  name: 'empty-https',
  setup({ onResolve, onLoad }) {
    onResolve({ filter: /^https$/ }, ({ path }) => ({ path, namespace: 'empty' }));
    onLoad({ filter: /.*/, namespace: 'empty' }, () => ({ contents: 'module.exports = {};' }));
  },
};

/** Begin of the function that a bundle is; `load` is the platform's own `require`. */
const FUNCTION_BANNER = [
  '(function (exports, load, module) {',
  `const absent = new Set(${JSON.stringify(ABSENT_MODULES)});`,
  'function require(name) {',
  "  if (absent.has(name)) throw new Error(name + ' is not part of this bundle');",
  '  return load(name);',
  '}',
].join('\n');

/** CommonJS libraries in an ES module need `require`. */
const REQUIRE_BANNER = [
  "import { createRequire as createRequireOfBundle } from 'node:module';",
  'const require = createRequireOfBundle(import.meta.url);',
].join('\n');

const present = new Set();

/** Replaces a file of the target folder unless it holds the same already. */
function replaceFile(name, contents) {
  present.add(name);
  const path = join(TARGET, name);
  try {
    if (readFileSync(path).equals(contents)) return;
  } catch {
    // There is no such file yet.
  }
  const written = `${path}.${process.pid}.new`;
  writeFileSync(written, contents);
  renameSync(written, path);
}

/** Bundles the programs into one function expression, as `loadCompiledModule` expects it. Returns its file's name. */
async function bundlePrograms() {
  const { outputFiles } = await build({
    ...COMMON,
    entryPoints: ['platform/programs.ts'],
    outdir: TARGET,
    format: 'cjs',
    external: ABSENT_MODULES,
    plugins: [EMPTY_HTTPS],
    banner: { js: FUNCTION_BANNER },
    footer: { js: '})' },
  });
  const [{ contents }] = outputFiles;
  const hash = createHash('sha256').update(contents).digest('hex').slice(0, HASH_DIGITS);
  const name = `programs-${hash}.cjs`;
  replaceFile(name, Buffer.from(contents));
  return name;
}

/** Bundles the start of the programs, which loads the bundle of that name. */
async function bundleStart(programsName) {
  const { outputFiles } = await build({
    ...COMMON,
    entryPoints: { whinyoke: 'platform/main.ts', loader: 'src/runtime/compiled_module.ts' },
    outdir: TARGET,
    outExtension: { '.js': '.mjs' },
    chunkNames: '[name]-[hash]',
    splitting: true,
    format: 'esm',
    banner: { js: REQUIRE_BANNER },
    define: { PROGRAMS_BUNDLE: JSON.stringify(programsName) },
  });
  for (const { path, contents } of outputFiles) replaceFile(basename(path), Buffer.from(contents));
}

/** Loads the programs once, as a start does, and stores what was compiled meanwhile. */
async function storeCode(programsName) {
  const { loadCompiledModule } = await import(pathToFileURL(resolve(TARGET, 'loader.mjs')).href);
  const programs = loadCompiledModule(pathToFileURL(resolve(TARGET, programsName)));
  const name = basename(programs.codeFile);
  if (programs.isCodeReused) present.add(name);
  else replaceFile(name, programs.storeCode());
}

mkdirSync(TARGET, { recursive: true });
const programsName = await bundlePrograms();
await bundleStart(programsName);
await storeCode(programsName);
for (const name of readdirSync(TARGET)) {
  const isBundle = name.includes('.mjs') || name.includes('.cjs');
  if (isBundle && !present.has(name)) rmSync(join(TARGET, name), { force: true });
}
