/** Values that callers bind to prepared statements of the MySQL interface. */
import t from 'tap';
import { bind, splitAtMarkers } from '../../src/mysql/frontend/prepared_statement.js';

const COMMENTS = ['# ?', '-- ?', '/* ? */'];
const LINE_OF_A_VALUE = '\nOR 1 = 1';

void t.test('a value does not become part of the text around a comment', (t) => {
  for (const comment of COMMENTS) {
    const sql = `SELECT ? ${comment}\n, '?', ?`;
    const pieces = splitAtMarkers(sql);
    const statement = { id: 1, pieces, parameterTypes: [] };
    const text = bind(statement, [1, LINE_OF_A_VALUE]);
    t.equal(text, `SELECT 1 ${comment}\n, '?', '${LINE_OF_A_VALUE}'`);
  }
  t.end();
});

void t.test('a quote in a comment hides no marker', (t) => {
  for (const comment of ["# isn't", "-- isn't", "/* isn't */"]) {
    t.equal(splitAtMarkers(`SELECT ${comment}\n ?, 'a'`).length, 2, comment);
  }
  t.end();
});
