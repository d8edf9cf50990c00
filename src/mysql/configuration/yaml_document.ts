/** Reading of YAML files against a schema, with errors that name file, line and path. */
import { LineCounter, type Document, isNode, parseDocument } from 'yaml';
import type { z } from 'zod';
import { InvalidDocumentError } from '../../errors/errors.js';

function lineOf(
  document: Document,
  lines: LineCounter,
  path: readonly PropertyKey[],
): number | undefined {
  for (let depth = path.length; depth >= 0; depth--) {
    const node: unknown = document.getIn(path.slice(0, depth), true);
    if (isNode(node) && node.range) return lines.linePos(node.range[0]).line;
  }
  return undefined;
}

function location(fileName: string, line: number | undefined): string {
  return line === undefined ? fileName : `${fileName}:${line}`;
}

/** Path of a problem; that of an unknown key includes the key. */
function pathOf(issue: z.core.$ZodIssue): readonly PropertyKey[] {
  return issue.code === 'unrecognized_keys' ? [...issue.path, issue.keys[0]!] : issue.path;
}

/**
 * Parses and checks a document.
 * @param fileName - shown in errors
 * @throws InvalidDocumentError with all problems on one line
 */
export function readYaml<Schema extends z.ZodType>(
  text: string,
  fileName: string,
  schema: Schema,
): z.infer<Schema> {
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines, prettyErrors: false });
  const syntaxError = document.errors[0];
  if (syntaxError) {
    const line = lines.linePos(syntaxError.pos[0]).line;
    throw new InvalidDocumentError(`${location(fileName, line)}: ${syntaxError.message}`);
  }
  const result = schema.safeParse(document.toJS());
  if (result.success) return result.data;
  const problems = result.error.issues.map((issue) => {
    const path = pathOf(issue);
    const line = lineOf(document, lines, path);
    return `${location(fileName, line)}: ${path.map(String).join('.') || '(top level)'}: ${issue.message}`;
  });
  throw new InvalidDocumentError(problems.join('; '));
}
