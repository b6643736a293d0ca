package org.cornelramp.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.cornelramp.cli.CliException;
import org.cornelramp.cli.ExitCode;
import org.cornelramp.core.operate.StatusDocument;

/** Shows what each entry knows of itself, the agents and the platform. Stateless. */
public final class Status implements Command {
    private static final String INDENT = "  ";

    @Override
    public String words() {
        return "status";
    }

    @Override
    public String summary() {
        return "show VMs, backend servers, links, drains and the log's health as each entry sees them";
    }

    @Override
    public ExitCode run(Context context, CommandLine line) throws CliException {
        List<StatusDocument> all = new ArrayList<>();
        List<String> silent = new ArrayList<>();
        for (String url : context.entries().all()) {
            context.entries()
                    .getFrom(url, "status", StatusDocument.class)
                    .ifPresentOrElse(all::add, () -> silent.add(url));
        }
        if (context.json()) {
            context.printJson(all);
        } else {
            all.forEach(status -> print(context, status));
        }
        silent.forEach(url -> context.progress().println("no answer from " + url));
        return silent.isEmpty() ? ExitCode.DONE : ExitCode.UNREACHABLE;
    }

    private static void print(Context context, StatusDocument status) {
        context.out().println("entry " + status.entry() + (status.ready() ? ": ready" : ": not ready"));
        status.reasons().forEach(reason -> context.out().println(INDENT + reason));
        status.sections().forEach((name, section) -> printNode(context, INDENT, name, section));
    }

    /** Plain values of one object stand on one line; what is nested goes below, further in. */
    private static void printNode(Context context, String indent, String name, JsonNode node) {
        if (node.isValueNode()) {
            context.out().println(indent + name + "=" + node.asText());
            return;
        }
        StringBuilder plain = new StringBuilder();
        node.properties().forEach(field -> {
            if (field.getValue().isValueNode() && !field.getValue().asText().isEmpty()) {
                plain.append(' ')
                        .append(field.getKey())
                        .append('=')
                        .append(field.getValue().asText());
            }
        });
        context.out().println(indent + name + plain);
        node.properties().forEach(field -> {
            if (field.getValue().isContainerNode()) {
                printNode(context, indent + INDENT, field.getKey(), field.getValue());
            }
        });
        for (int i = 0; node.isArray() && i < node.size(); i++) {
            printNode(context, indent + INDENT, Integer.toString(i), node.get(i));
        }
    }
}
