#include <bilberrytrail/release/release_body.h>

#include "row_fields.h"

#include <bilberrytrail/release/release_note.h>

namespace bilberrytrail {

namespace {

using nlohmann::json;

std::string
Dump(const json& aObject)
{
  return aObject.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string
ReleaseHeadKey(const ProductId& aProduct)
{
  return std::string(kReleaseHeadPrefix) + aProduct.Text();
}

std::string
ReleaseRowKey(const ProductId& aProduct, ReleaseNumber aNumber)
{
  return "release/" + aProduct.Text() + "/" + std::to_string(aNumber.Value());
}

std::string
NoteRowKey(const ProductId& aProduct, ReleaseNumber aNumber)
{
  return "release-note/" + aProduct.Text() + "/" +
         std::to_string(aNumber.Value());
}

std::string
ToText(const ReleaseHead& aHead)
{
  return Dump({ { "product", aHead.mProduct.Text() },
                { "number", aHead.mNumber.Value() },
                { "note_id", aHead.mNoteId },
                { "hash", aHead.mHash } });
}

Result<ReleaseHead>
ReleaseHeadFromText(std::string_view aText)
{
  const json object = json::parse(aText.begin(), aText.end(), nullptr, false);
  RowFields fields(object);
  ReleaseHead head;
  head.mProduct = ProductId(fields.Text("product"));
  head.mNumber = ReleaseNumber(fields.Unsigned("number"));
  head.mNoteId = fields.Text("note_id");
  head.mHash = fields.Text("hash");
  if (!fields.IsOk()) {
    return Fail(ErrorCode::Corrupt,
                "release head: expected a JSON object with product, number, "
                "note_id and hash, got " +
                  std::to_string(aText.size()) + " bytes of other content");
  }
  return head;
}

std::string
ToText(const ReleaseBody& aBody)
{
  return Dump({ { "note_id", aBody.mNoteId },
                { "note", aBody.mNoteText },
                { "state", ToText(aBody.mState) } });
}

Result<ReleaseBody>
ReleaseBodyFromText(std::string_view aText)
{
  const json object = json::parse(aText.begin(), aText.end(), nullptr, false);
  RowFields fields(object);
  ReleaseBody body;
  body.mNoteId = fields.Text("note_id");
  body.mNoteText = fields.Text("note");
  const std::string state = fields.Text("state");
  if (!fields.IsOk()) {
    return Fail(
      ErrorCode::Corrupt,
      "release row: expected a JSON object with note_id, note and state, got " +
        std::to_string(aText.size()) + " bytes of other content");
  }
  auto parsed = ProductStateFromText(state);
  if (!parsed) {
    return std::move(parsed).error();
  }
  body.mState = std::move(parsed).value();
  return body;
}

std::string
ToText(const NoteRow& aNote)
{
  return Dump({ { "note_id", aNote.mNoteId }, { "note", aNote.mNoteText } });
}

Result<NoteRow>
NoteRowFromText(std::string_view aText)
{
  const json object = json::parse(aText.begin(), aText.end(), nullptr, false);
  RowFields fields(object);
  NoteRow note;
  note.mNoteId = fields.Text("note_id");
  note.mNoteText = fields.Text("note");
  if (!fields.IsOk()) {
    return Fail(ErrorCode::Corrupt,
                "note row: expected a JSON object with note_id and note, got " +
                  std::to_string(aText.size()) + " bytes of other content");
  }
  return note;
}

Result<ReleaseBody>
BodyAfter(const ProductState& aState, const std::vector<NoteRow>& aNotes)
{
  ReleaseBody body;
  body.mState = aState;
  for (const auto& row : aNotes) {
    auto note = CheckNote(row.mNoteText, "note");
    if (!note) {
      return std::move(note).error();
    }
    // The operator may have given these separately from the text.
    note.value().mProduct = aState.mProduct;
    note.value().mAgainst = body.mState.mNumber;
    auto next = ApplyNote(body.mState, note.value());
    if (!next) {
      return std::move(next).error();
    }
    body = { row.mNoteId, row.mNoteText, std::move(next).value() };
  }
  return body;
}

} // namespace bilberrytrail
