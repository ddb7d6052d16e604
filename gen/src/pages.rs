//! Generates the reference pages of manifest and settings from the comments of
//! the schema.

use std::collections::BTreeMap;
use std::fmt::Write;

use prost_types::DescriptorProto;
use prost_types::FieldDescriptorProto;
use prost_types::FileDescriptorProto;
use prost_types::FileDescriptorSet;
use prost_types::field_descriptor_proto::Label;
use prost_types::field_descriptor_proto::Type;

const PACKAGE: &str = "cowslipport.config";
/// Field numbers of `message_type` in `FileDescriptorProto` and of `field` in
/// `DescriptorProto`. The path of a source location alternates such numbers with
/// indices.
const MESSAGE_TAG: i32 = 4;
const FIELD_TAG: i32 = 2;

/// Returns the pages by their file names.
pub(crate) fn pages(descriptors: &FileDescriptorSet) -> BTreeMap<String, String> {
    let Some(file) = descriptors.file.iter().find(|file| file.package() == PACKAGE) else {
        return BTreeMap::new();
    };
    let schema = Schema::new(file);
    [("Manifest", "manifest.md"), ("Settings", "settings.md")]
        .into_iter()
        .map(|(message, name)| (name.to_owned(), schema.page(message)))
        .collect()
}

struct Schema<'a> {
    messages: BTreeMap<&'a str, (usize, &'a DescriptorProto)>,
    comments: BTreeMap<&'a [i32], &'a str>,
}

impl<'a> Schema<'a> {
    fn new(file: &'a FileDescriptorProto) -> Self {
        let locations = file.source_code_info.as_ref().map_or(&[][..], |info| &info.location);
        Self {
            messages: file
                .message_type
                .iter()
                .enumerate()
                .map(|(index, message)| (message.name(), (index, message)))
                .collect(),
            comments: locations
                .iter()
                .map(|location| (location.path.as_slice(), location.leading_comments()))
                .collect(),
        }
    }

    fn page(&self, message: &str) -> String {
        let mut page = format!(
            "# {message}\n\n{} The file is TOML. `cowslipport check FILE` reports all its \
             faults.\n\nThis page is generated from `lib/src/protos/config.proto`; \
             `cargo run -p cowslipport-gen` writes it.\n",
            self.message_comment(message)
        );
        self.write_fields(message, "", &mut page);
        page
    }

    /// Writes a table of the fields of `message`, then a section for each nested
    /// table.
    fn write_fields(&self, message: &str, path: &str, page: &mut String) {
        let Some((index, descriptor)) = self.messages.get(message) else { return };
        let scalars = descriptor.field.iter().enumerate().filter(|(_, field)| !is_table(field));
        let mut is_first = true;
        for (number, field) in scalars {
            if std::mem::take(&mut is_first) {
                page.push_str("\n| key | value | meaning |\n|---|---|---|\n");
            }
            let path = [MESSAGE_TAG, to_i32(*index), FIELD_TAG, to_i32(number)];
            let comment = one_line(self.comments.get(&path[..]).copied().unwrap_or_default());
            // Writing to a `String` cannot fail.
            let _ = writeln!(page, "| `{}` | {} | {comment} |", field.name(), value_name(field));
        }
        for field in descriptor.field.iter().filter(|field| is_table(field)) {
            let nested = field.type_name().rsplit('.').next().unwrap_or_default();
            let prefix = if path.is_empty() { String::new() } else { format!("{path}.") };
            let nested_path = format!("{prefix}{}", field.name());
            let header = match field.label() {
                Label::Repeated => format!("[[{nested_path}]]"),
                Label::Optional | Label::Required => format!("[{nested_path}]"),
            };
            let _ = write!(page, "\n## `{header}`\n\n{}\n", self.message_comment(nested));
            self.write_fields(nested, &nested_path, page);
        }
    }

    fn message_comment(&self, message: &str) -> String {
        let Some((index, _)) = self.messages.get(message) else { return String::new() };
        let path = [MESSAGE_TAG, to_i32(*index)];
        one_line(self.comments.get(&path[..]).copied().unwrap_or_default())
    }
}

fn to_i32(index: usize) -> i32 {
    i32::try_from(index).expect("a schema has fewer than 2^31 entries")
}

fn one_line(comment: &str) -> String {
    comment.split_whitespace().collect::<Vec<_>>().join(" ").replace('|', "\\|")
}

/// Returns true for a field whose value is a TOML table or an array of tables. A
/// map field is not one of these: its type is a generated entry type, whose name
/// ends with `Entry`.
fn is_table(field: &FieldDescriptorProto) -> bool {
    field.r#type() == Type::Message && !field.type_name().ends_with("Entry")
}

fn value_name(field: &FieldDescriptorProto) -> &'static str {
    match (field.r#type(), field.label()) {
        (Type::Message, _) => "table of texts",
        (Type::String, Label::Repeated) => "list of texts",
        (Type::String, Label::Optional | Label::Required) => "text",
        (Type::Bool, _) => "`true` or `false`",
        (Type::Uint32, _) => "number up to 2^32 - 1",
        (Type::Uint64, _) => "number up to 2^64 - 1",
        (
            Type::Double
            | Type::Float
            | Type::Int64
            | Type::Int32
            | Type::Fixed64
            | Type::Fixed32
            | Type::Group
            | Type::Bytes
            | Type::Enum
            | Type::Sfixed32
            | Type::Sfixed64
            | Type::Sint32
            | Type::Sint64,
            _,
        ) => "value",
    }
}
