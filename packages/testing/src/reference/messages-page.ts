import { MESSAGE_IDS } from "@medlarledge/protocol";
import ts from "typescript";
import { code, markdownTable } from "./markdown.js";
import type { SourceFile } from "./source-files.js";

interface Message {
    readonly meaning: string;
    readonly fields: readonly { readonly name: string; readonly type: string; readonly meaning: string; }[];
}

/** Every message between processes, with the fields and comments of its type. */
export function messagePage(protocol: readonly SourceFile[]): string {
    const messages = new Map(protocol.flatMap(readMessages));
    const ids: readonly (readonly [string, number])[] = Object.entries(MESSAGE_IDS);
    const sections = [...ids].sort(([, left], [, right]) => left - right).map(([kind, id]) => {
        const message = messages.get(kind);
        if (message === undefined) {
            throw new Error(`there is no interface of the message ${kind}`);
        }
        return section(kind, id, message);
    });
    return sections.join("\n\n");
}

function section(kind: string, id: number, { meaning, fields }: Message): string {
    const rows = fields.map(field => [code(field.name), code(field.type), field.meaning]);
    const table = rows.length === 0 ? "" : `\n\n${markdownTable(["field", "type", "meaning"], rows)}`;
    return `## ${id} ${code(kind)}${meaning === "" ? "" : `\n\n${meaning}`}${table}`;
}

function readMessages({ path, text }: SourceFile): readonly (readonly [string, Message])[] {
    const file = ts.createSourceFile(path, text, ts.ScriptTarget.ES2022, true);
    return file.statements.filter(ts.isInterfaceDeclaration).flatMap(declaration => {
        const members = declaration.members.filter(ts.isPropertySignature);
        const kind = members.map(member => kindOf(member, file)).find(found => found !== undefined);
        if (kind === undefined) {
            return [];
        }
        const fields = members.filter(member => member.name.getText(file) !== "kind").map(member => ({
            name: member.name.getText(file),
            type: (member.type?.getText(file) ?? "").replace(/\s+/g, " "),
            meaning: commentOf(member),
        }));
        return [[kind, { meaning: commentOf(declaration), fields }]] as const;
    });
}

function kindOf(member: ts.PropertySignature, file: ts.SourceFile): string | undefined {
    const { type } = member;
    const isKind = member.name.getText(file) === "kind" && type !== undefined && ts.isLiteralTypeNode(type);
    return isKind && ts.isStringLiteral(type.literal) ? type.literal.text : undefined;
}

function commentOf(node: ts.Node): string {
    return ts.getJSDocCommentsAndTags(node)
        .filter(ts.isJSDoc)
        .map(comment => ts.getTextOfJSDocComment(comment.comment) ?? "")
        .join(" ")
        .replace(/\s+/g, " ");
}
