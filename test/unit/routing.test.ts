/** Statement classes and marks. */
import fc from 'fast-check';
import t from 'tap';
import { RequestError } from '../../src/errors/errors.js';
import { readMarks } from '../../src/mysql/routing/marks.js';
import { type StatementClass, classifyStatement } from '../../src/mysql/routing/statement_class.js';

const classes: Readonly<Record<string, StatementClass>> = {
  'SELECT * FROM slots': 'read',
  '  /* hint */ select 1': 'read',
  'SELECT 1 /*!50000 FOR UPDATE */': 'stateful',
  "SELECT 1 /*! INTO OUTFILE 'a' */": 'stateful',
  '/*!50000 INSERT INTO a VALUES (1) */': 'stateful',
  '/*!99999 SELECT */ INSERT INTO a VALUES (1)': 'stateful',
  '/*! SELECT 1 */ /*! FOR UPDATE */': 'stateful',
  "SELECT '/*! x */'": 'read',
  "/*!40101 SET NAMES 'utf8' */": 'session_default',
  '/*!40101 SET @a = @b */;': 'stateful',
  '/*!40101 SET NAMES utf8 */ INSERT INTO a VALUES (2 * 3)': 'stateful',
  '(SELECT 1) UNION (SELECT 2)': 'read',
  'WITH a AS (SELECT 1) SELECT * FROM a': 'read',
  'WITH a AS (SELECT 1) DELETE FROM t USING a': 'write',
  'SELECT * FROM slots FOR UPDATE': 'write',
  'SELECT * FROM slots LOCK IN SHARE MODE': 'write',
  "SELECT 'FOR UPDATE'": 'read',
  'SELECT @a := 1': 'stateful',
  'SELECT @@version': 'read',
  'SELECT LAST_INSERT_ID()': 'stateful',
  "SELECT GET_LOCK('a', 1)": 'stateful',
  'SELECT 1 INTO @a': 'stateful',
  'SELECT 1; DROP TABLE slots': 'stateful',
  'INSERT INTO slots VALUES (1)': 'write',
  'CREATE TEMPORARY TABLE t (a INT)': 'stateful',
  'LOCK TABLES slots WRITE': 'stateful',
  "PREPARE s FROM 'SELECT 1'": 'stateful',
  'SET NAMES utf8mb4': 'session_default',
  'SET autocommit = 1': 'session_default',
  'SET autocommit = 0': 'stateful',
  'SET @a = 1': 'stateful',
  'SET SESSION TRANSACTION ISOLATION LEVEL READ COMMITTED': 'stateful',
  BEGIN: 'begin',
  'START TRANSACTION': 'begin',
  'START TRANSACTION READ ONLY': 'begin_read_only',
  COMMIT: 'commit',
  ROLLBACK: 'rollback',
  'ROLLBACK TO SAVEPOINT a': 'stateful',
  'USE payments': 'use',
  'SHOW TABLES': 'read',
  'SHOW WARNINGS': 'stateful',
  'SHOW WHINYOKE STATUS': 'show_token',
  'CALL refill()': 'write',
  'KILL 7': 'stateful',
  '': 'empty',
  '-- nothing': 'empty',
};

void t.test('statement classes', (t) => {
  for (const [sql, expected] of Object.entries(classes)) {
    t.equal(classifyStatement(sql), expected, sql);
  }
  t.end();
});

void t.test('no text makes the classification throw, and a write never counts as a read', (t) => {
  const noise = fc.string({ maxLength: 40 });
  const held = fc.assert(
    fc.property(noise, noise, (before, after) => {
      classifyStatement(before + after);
      return classifyStatement(`INSERT ${after}`) !== 'read';
    }),
    { seed: 9 },
  );
  t.equal(held, undefined);
  t.end();
});

void t.test('marks of the sqlcommenter form', (t) => {
  const marks = readMarks(
    "SELECT 1 /*route='%2Fa',whinyoke_position='payments%3A3-1042',whinyoke_once='pay-77'*/",
  );
  t.same(marks.token?.positionOf('payments'), { term: 3, sequence: 1042 });
  t.equal(marks.onceKey, 'pay-77');
  t.equal(readMarks("SELECT 'whinyoke_once' ").onceKey, undefined);
  t.equal(readMarks("SELECT 1 /*whinyoke_group='g'*/;").group, 'g');
  t.end();
});

void t.test('a malformed mark is refused: dropping it would drop a promise', (t) => {
  const malformed = ["whinyoke_position='x'", "whinyoke_once=''", "whinyoke_once='%zz'"];
  for (const mark of malformed) {
    try {
      readMarks(`SELECT 1 /*${mark}*/`);
      t.fail(mark);
    } catch (error) {
      t.equal((error as RequestError).verdict, 'not_run', mark);
    }
  }
  t.end();
});
